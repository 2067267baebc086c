#include "Tests/NodeProcesses/ModelServer.h"

#include <algorithm>

namespace Anvilyard::Tests {

ModelServer::ModelServer(Http::EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
{
    auto const listen = [this](Address const &address) {
        return Http::HttpServer::create(
            loop_, {.listen = address}, [this](auto request, auto const &writer) { handle(std::move(request), writer); });
    };
    auto server = listen(options_.listen);
    if (!server)
        server = listen(Address("127.0.0.1:0"));
    server_ = std::move(*server);
    address_ = server_->address();
}

ModelServer::~ModelServer()
{
    stop();
}

void ModelServer::stop()
{
    options_.onCrashed = [] {};
    crash();
}

std::string const &ModelServer::id() const
{
    return options_.id;
}

Address const &ModelServer::address() const
{
    return address_;
}

bool ModelServer::isUp() const
{
    return server_ != nullptr;
}

ModelServer::ResponseForm ModelServer::form() const
{
    return options_.form;
}

void ModelServer::handle(Http::HttpRequest request, std::shared_ptr<Http::ResponseWriter> const &writer)
{
    if (!isUp())
        return writer->abort();
    if (readLocalClock() < silentUntil_) {
        // A paused process finds the request when it goes on, also if its caller has left.
        auto const held = std::make_shared<Http::HttpRequest>(std::move(request));
        deferred_.push_back(loop_.at(silentUntil_, [this, held, writer] { handle(std::move(*held), writer); }));
        return;
    }
    if (request.method == "GET")
        return writer->respond({.status = request.path() == "/healthz" ? 200 : 404, .headers = {{"Anvilyard-Instance-Id", id()}}});
    options_.onReceived(request);
    if (request.headers.find("Anvilyard-Expect-Instance").value_or(id()) != id()) {
        auto headers = headersFor(request);
        headers.append({"Anvilyard-Not-Executed", "1"});
        return writer->respond({.status = 421, .headers = std::move(headers)});
    }
    auto run = std::make_shared<Run>();
    run->writer = writer;
    if (auto const last = request.headers.find("Last-Event-Id"))
        run->nextEvent = std::stoull(std::string(*last)) + 1;
    run->request = std::move(request);
    writer->onCallerGone([this, weak = std::weak_ptr(run)] {
        if (auto const gone = weak.lock())
            end(gone);
    });
    waiting_.push_back(std::move(run));
    startWaiting();
}

void ModelServer::silence(Instant until)
{
    silentUntil_ = until;
}

Instant ModelServer::afterSilence(Instant time) const
{
    return std::max(time, silentUntil_);
}

void ModelServer::schedule(std::shared_ptr<Run> const &run, Instant at, std::function<void(std::shared_ptr<Run> const &)> action)
{
    run->timer = loop_.at(afterSilence(at), [this, weak = std::weak_ptr(run), action = std::move(action)] {
        auto const due = weak.lock();
        if (!due)
            return;
        if (readLocalClock() < silentUntil_)
            return schedule(due, silentUntil_, action);
        action(due);
    });
}

void ModelServer::startWaiting()
{
    while (!waiting_.empty() && running_.size() < options_.slots) {
        auto const run = waiting_.front();
        waiting_.pop_front();
        running_.push_back(run);
        options_.onStarted(run->request);
        run->rejection = options_.rejection(run->request);
        run->fate = options_.fate(run->request);
        if (options_.form == ResponseForm::EventStream && options_.headMoment == HeadMoment::RunBegins && !run->rejection)
            sendHead(run);
        schedule(run, readLocalClock() + options_.promptTime, [this](std::shared_ptr<Run> const &ready) {
            ready->rejection ? reject(ready) : options_.behaviour(*this, ready);
        });
    }
}

void ModelServer::sendHead(std::shared_ptr<Run> const &run)
{
    if (run->fate != ResponseFate::Arrives || std::exchange(run->isHeadSent, true))
        return;
    auto headers = headersFor(run->request);
    headers.append({"Content-Type", "text/event-stream"});
    run->writer->start({.status = 200, .headers = std::move(headers)});
}

void ModelServer::reject(std::shared_ptr<Run> const &run)
{
    options_.onRejected(run->request);
    if (run->fate != ResponseFate::Arrives)
        return lose(run);
    run->writer->respond({.status = *run->rejection, .headers = headersFor(run->request)});
    end(run);
}

void ModelServer::lose(std::shared_ptr<Run> const &run)
{
    if (run->fate == ResponseFate::BreakOff && run->rejection) {
        run->writer->start({.status = *run->rejection, .headers = headersFor(run->request)});
        run->writer->write("{", nullptr);
    }
    if (run->fate != ResponseFate::Silence)
        return cut(run);
    silent_.push_back(run->writer);
    end(run);
}

void ModelServer::complete(std::shared_ptr<Run> const &run)
{
    if (options_.form == ResponseForm::EventStream)
        return writeEvents(run);
    if (run->fate != ResponseFate::Arrives)
        return lose(run);
    auto body = "response to " + run->request.body;
    body.resize(std::max(body.size(), options_.minResponseBytes), '.');
    run->writer->respond({.status = 200, .headers = headersFor(run->request), .body = std::move(body)});
    end(run);
}

void ModelServer::writeEvent(std::shared_ptr<Run> const &run)
{
    sendHead(run);
    auto const number = std::to_string(run->nextEvent++);
    if (run->fate != ResponseFate::Arrives)
        return;
    run->writer->write("id: " + number + "\ndata: " + options_.eventPrefix + "t" + number + "\n\n", nullptr);
}

void ModelServer::writeEvents(std::shared_ptr<Run> const &run)
{
    if (run->nextEvent >= options_.events) {
        sendHead(run);
        options_.onFinished(run->request);
        if (run->fate != ResponseFate::Arrives)
            return lose(run);
        run->writer->finish();
        return end(run);
    }
    writeEvent(run);
    schedule(run, readLocalClock() + options_.eventGap, [this](std::shared_ptr<Run> const &next) { writeEvents(next); });
}

void ModelServer::cut(std::shared_ptr<Run> const &run)
{
    run->writer->abort();
    end(run);
}

void ModelServer::crash()
{
    if (!isUp())
        return;
    server_->stopAccepting();
    for (auto *runs : {&waiting_, &running_}) {
        for (auto const &run : std::exchange(*runs, {})) {
            run->timer.reset();
            run->writer->abort();
        }
    }
    for (auto const &writer : std::exchange(silent_, {}))
        writer->abort();
    server_->closeIdle();
    server_.reset();
    options_.onCrashed();
}

void ModelServer::end(std::shared_ptr<Run> const &run)
{
    auto const ended = run;
    ended->timer.reset();
    waiting_.remove(ended);
    running_.remove(ended);
    startWaiting();
}

Http::Headers ModelServer::headersFor(Http::HttpRequest const &request) const
{
    Http::Headers headers{{"Anvilyard-Instance-Id", id()},
                          {"Anvilyard-Attempt-Id", std::string(request.headers.find("Anvilyard-Attempt-Id").value_or(""))},
                          {"Anvilyard-Response-Signature", "sig"}};
    auto const extraHeaders = options_.extraHeaders();
    for (auto const &field : extraHeaders.fields())
        headers.append(field);
    return headers;
}

} // namespace Anvilyard::Tests
