#include "Tests/NodeProcesses/ServingFleet.h"

#include "LibJobs/Base64.h"

#include <algorithm>
#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace Anvilyard::Tests {

namespace json = boost::json;

namespace {

constexpr Duration RestartTime = 500ms;
/// From the first event of a response.
constexpr Duration TimeToCrash = 30ms;
constexpr Duration PollInterval = 10ms;
constexpr Duration MaxWait = 60s;

ServingFleet::Parts sharedParts(Http::HttpRequest const &request)
{
    ServingFleet::Parts parts;
    std::string text(request.headers.find("Anvilyard-Prompt-Prefix").value_or(""));
    for (auto comma = text.find(','); comma != std::string::npos; comma = text.find(',')) {
        parts.push_back(text.substr(0, text.find(':')));
        text.erase(0, comma + 1);
    }
    return parts;
}

/// Returns what is the same each time when a request comes again. The ids of attempts and items differ.
std::string identityOf(Http::HttpRequest const &request)
{
    std::string identity;
    for (auto const &text : {request.method,
                             std::string(request.headers.find("Host").value_or("")),
                             request.target,
                             std::string(request.headers.find("Authorization").value_or("")),
                             request.body})
        identity += text + '\n';
    return identity;
}

std::string attemptIdOf(Http::HttpRequest const &request)
{
    return std::string(request.headers.find("Anvilyard-Attempt-Id").value_or(""));
}

constexpr std::string_view FailingPath = "/b/fails/";
constexpr std::string_view ImpossiblePath = "/b/impossible/";
constexpr std::string_view CrashingPath = "/b/crashes/";

std::string_view pathOf(ServingFleet::ItemEnd end)
{
    switch (end) {
    case ServingFleet::ItemEnd::Completes:
        break;
    case ServingFleet::ItemEnd::Fails:
        return FailingPath;
    case ServingFleet::ItemEnd::IsImpossible:
        return ImpossiblePath;
    case ServingFleet::ItemEnd::Crashes:
        return CrashingPath;
    }
    return "/b/";
}

std::optional<int> rejectionOf(Http::HttpRequest const &request)
{
    if (request.target.starts_with(FailingPath))
        return 500;
    return request.target.starts_with(ImpossiblePath) ? std::optional(422) : std::nullopt;
}

std::string poolOf(ModelServer::ResponseForm form)
{
    return form == ModelServer::ResponseForm::EventStream ? "p" : "q";
}

constexpr std::string_view DesiredState = R"({"version":$version,$customers"routes":[$idleRoutes
    {"name":"s","host":"h.example","pathPrefix":"/s/","kind":"streaming","timeoutMs":5000,"sloMs":300,"priority":0,"service":"p",
     "attempts":2,"resumable":true,"gapAimMs":600,"sessionAffinity":true},
    {"name":"b","host":"h.example","pathPrefix":"/b/","kind":"batch","timeoutMs":15000,"sloMs":400,"priority":2,"service":"p",
     "attempts":3,"completionTargetMs":$completionTarget,"queueTtlS":$queueTime,"cap":100000},
    {"name":"o","host":"h.example","pathPrefix":"/b/online/","kind":"streaming","timeoutMs":5000,"sloMs":300,"priority":0,"service":"p",
     "attempts":2,"resumable":true,"gapAimMs":600},
    {"name":"q","host":"h.example","pathPrefix":"/q/","kind":"idempotent","timeoutMs":5000,"sloMs":300,"priority":0,"service":"q",
     "attempts":2},
    {"name":"u","host":"h.example","pathPrefix":"/u/","kind":"non_idempotent","timeoutMs":5000,"sloMs":300,"priority":0,"service":"q",
     "attempts":1}],
    "services":[{"name":"p","healthPath":"/healthz","maxConns":100},{"name":"q","healthPath":"/healthz","maxConns":100}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::string desiredState(ServingFleet::Options const &options, std::uint64_t version, std::size_t idleRoutes)
{
    std::string text(DesiredState);
    auto const set = [&](std::string_view placeholder, std::string const &value) {
        text.replace(text.find(placeholder), placeholder.size(), value);
    };
    set("$completionTarget", std::to_string(options.completionTarget.count()));
    set("$queueTime", std::to_string(options.queueTime.count()));
    set("$version", std::to_string(version));
    set("$customers", options.customers.empty() ? "" : R"("tenants":)" + options.customers + ",");
    std::string routes;
    for (std::size_t number = 0; number < idleRoutes; ++number) {
        auto const name = "idle-" + std::to_string(number);
        routes += R"({"name":")" + name + R"(","host":"h.example","pathPrefix":"/)" + name
            + R"(/","kind":"idempotent","timeoutMs":5000,"sloMs":300,"priority":0,"service":"q","attempts":2},)";
    }
    set("$idleRoutes", routes);
    return text;
}

} // namespace

ServingFleet::ServingFleet()
    : ServingFleet(Options())
{
}

ServingFleet::ServingFleet(Options options)
    : options_(options)
{
    auto folder = (std::filesystem::temp_directory_path() / "anvilyard-test-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        throw std::system_error(errno, std::generic_category(), folder);
    folder_ = folder;
    thread_.call([&] {
        store_ = std::make_unique<FleetStoreServer>(thread_.loop());
        store_->put("config", "main", desiredState(options_, stateVersion_, 0));
        client_ = Http::HttpClient::create(thread_.loop(), {});
    });
}

ServingFleet::~ServingFleet()
{
    nodes_.clear();
    thread_.call([this] {
        restarts_.clear();
        servers_.clear();
        scriptedServers_.clear();
        paths_.clear();
        client_.reset();
        store_.reset();
    });
    if (::testing::Test::HasFailure())
        GTEST_LOG_(INFO) << "logs of the node processes: " << folder_;
    else
        std::filesystem::remove_all(folder_);
}

void ServingFleet::startServers(std::size_t count, ModelServer::ResponseForm form)
{
    serverCount_ += count;
    thread_.call([&] {
        for (std::size_t started = 0; started < count; ++started)
            startServer({.id = nextServerId(), .address = Address("127.0.0.1:0"), .form = form});
    });
}

void ServingFleet::startServersOf(std::string const &version, std::size_t count)
{
    serverCount_ += count;
    thread_.call([&] {
        for (std::size_t started = 0; started < count; ++started)
            startServer({.id = nextServerId(),
                         .address = Address("127.0.0.1:0"),
                         .form = ModelServer::ResponseForm::EventStream,
                         .version = version});
    });
}

void ServingFleet::stopServersOf(std::string const &version)
{
    thread_.call([&] {
        for (auto const &server : servers_) {
            if (!server->isUp() || versions_.at(server->id()) != version)
                continue;
            --serverCount_;
            store_->remove("servers", server->id());
            server->stop();
        }
    });
}

void ServingFleet::crashServerOf(std::string const &version)
{
    thread_.call([&] {
        auto const server = std::ranges::find_if(
            servers_, [&](auto const &candidate) { return candidate->isUp() && versions_.at(candidate->id()) == version; });
        (*server)->crash();
    });
}

void ServingFleet::setStreams(std::uint64_t events, Duration eventGap)
{
    events_ = events;
    eventGap_ = eventGap;
}

void ServingFleet::setHeadMoment(ModelServer::HeadMoment moment)
{
    thread_.call([&] { headMoment_ = moment; });
}

void ServingFleet::setPromptTime(Duration time)
{
    promptTime_ = time;
}

void ServingFleet::setResponseSize(std::size_t bytes)
{
    minResponseBytes_ = bytes;
}

void ServingFleet::setTimeToCrash(Duration time)
{
    thread_.call([&] { timeToCrash_ = time; });
}

void ServingFleet::setResponseFate(std::function<ModelServer::ResponseFate(Http::HttpRequest const &)> fate)
{
    thread_.call([&] { responseFate_ = std::move(fate); });
}

void ServingFleet::setIdAfterCrash(IdAfterCrash id)
{
    thread_.call([&] { idAfterCrash_ = id; });
}

void ServingFleet::setVersionAfterCrash(std::string version)
{
    thread_.call([&] { versionAfterCrash_ = std::move(version); });
}

void ServingFleet::changeDesiredState(std::size_t idleRoutes)
{
    thread_.call([&] { store_->put("config", "main", desiredState(options_, ++stateVersion_, idleRoutes)); });
}

void ServingFleet::setCustomers(std::string const &customers)
{
    auto state = desiredState(options_, ++stateVersion_, 0);
    state.insert(state.rfind('}'), R"(,"tenants":)" + customers);
    thread_.call([&] { store_->put("config", "main", state); });
}

void ServingFleet::setObserver(std::function<void(Http::HttpRequest const &)> observer)
{
    thread_.call([&] { observer_ = std::move(observer); });
}

NodeProcess &ServingFleet::startNodeBehindPathToStore(std::string const &name, Serving::InstanceRole role)
{
    if (!storePath_)
        storePath_ = std::make_unique<CuttablePath>(thread_.call([this] { return store_->address(); }));
    return startNode(name, role, storePath_->address());
}

void ServingFleet::setStoreCut(Cut cut)
{
    storePath_->setCut(cut);
}

void ServingFleet::setStoreOutage(OutageMode outage)
{
    setStoreFaults({.outage = outage});
}

void ServingFleet::setStoreFaults(PlatformFaults faults)
{
    thread_.call([&] { store_->faults().setFaults(faults); });
}

ModelServer *ServingFleet::findUp(std::size_t position)
{
    std::vector<ModelServer *> up;
    for (auto const &server : servers_) {
        if (server->isUp())
            up.push_back(server.get());
    }
    return up.empty() ? nullptr : up[position % up.size()];
}

void ServingFleet::silenceServer(std::size_t position, Duration time)
{
    thread_.call([&] {
        if (auto *server = findUp(position))
            server->silence(readLocalClock() + time);
    });
}

void ServingFleet::crashServer(std::size_t position)
{
    thread_.call([&] {
        if (auto *server = findUp(position))
            server->crash();
    });
}

std::map<std::string, bool> ServingFleet::serversOf(std::string const &attempt)
{
    return thread_.call([&] {
        std::map<std::string, bool> servers;
        for (auto const position : runServers_[attempt]) {
            auto const &server = *servers_.at(position);
            servers.emplace(server.id() + "#" + std::to_string(position), !server.isUp());
        }
        return servers;
    });
}

std::string ServingFleet::nextServerId() const
{
    return "i-" + std::to_string(servers_.size());
}

void ServingFleet::startScriptedServer(std::string const &pool, ScriptedServer::Script script)
{
    thread_.call([&] {
        auto const &server = scriptedServers_.emplace_back(ScriptedServer::create(thread_.loop(), std::move(script)));
        store_->put("servers",
                    "scripted-" + std::to_string(scriptedServers_.size()),
                    R"({"service":")" + pool + R"(","address":")" + server->address().value()
                        + R"(","zone":"dc","slots":4,"state":"ready","version":"","born":1})");
    });
}

void ServingFleet::startServer(Start const &start)
{
    auto const &id = start.id;
    auto server = std::make_unique<ModelServer>(
        thread_.loop(),
        ModelServer::Options{
            .id = id,
            .listen = start.address,
            .form = start.form,
            .headMoment = headMoment_,
            .promptTime = promptTime_,
            .minResponseBytes = minResponseBytes_,
            .eventGap = eventGap_,
            .events = events_,
            .eventPrefix = start.version.empty() ? "" : start.version + "-",
            .behaviour = [this](ModelServer &started, std::shared_ptr<ModelServer::Run> const &run) { onRun(started, run); },
            .rejection = rejectionOf,
            .onRejected = [this](Http::HttpRequest const &request) { rejections_[attemptIdOf(request)].push_back(readLocalClock()); },
            .fate =
                [this](Http::HttpRequest const &request) {
                    return responseFate_ ? responseFate_(request) : ModelServer::ResponseFate::Arrives;
                },
            .onStarted = [this, position = servers_.size()](
                             Http::HttpRequest const &request) { runServers_[attemptIdOf(request)].insert(position); },
            .onFinished = [this](Http::HttpRequest const &request) { finished_.insert(attemptIdOf(request)); },
            .onReceived = [this, id](Http::HttpRequest const &request) { onReceived(id, request); },
            .onCrashed = [this, id, position = servers_.size()] { onCrashed(id, position); },
            .extraHeaders =
                [this, id] {
                    auto const limit = limits_.find(id);
                    return limit == limits_.end() ? Http::Headers() : Http::Headers{{"Server-Limit", limit->second}};
                },
        });
    auto const born = std::chrono::duration_cast<std::chrono::milliseconds>(readClocks().wall.time_since_epoch()).count();
    store_->put("servers",
                id,
                R"({"service":")" + poolOf(start.form) + R"(","address":")" + server->address().value()
                    + R"(","zone":"dc","slots":4,"state":"ready","version":")" + start.version + R"(","born":)" + std::to_string(born)
                    + "}");
    versions_[id] = start.version;
    servers_.push_back(std::move(server));
}

void ServingFleet::setLimit(std::string const &server, std::optional<std::string> limit)
{
    thread_.call([&] {
        limits_.erase(server);
        if (limit)
            limits_[server] = std::move(*limit);
    });
}

std::vector<Instant> ServingFleet::arrivalsAt(std::string const &server)
{
    return thread_.call([&] { return arrivalsByServer_[server]; });
}

void ServingFleet::onReceived(std::string const &server, Http::HttpRequest const &request)
{
    auto const now = readLocalClock();
    observer_(request);
    arrivalsByServer_[server].push_back(now);
    for (auto const &part : sharedParts(request))
        arrivals_[part].push_back(now);
    arrivals_[identityOf(request)].push_back(now);
    arrivalsById_[attemptIdOf(request)].push_back(now);
}

void ServingFleet::onRun(ModelServer &server, std::shared_ptr<ModelServer::Run> const &run)
{
    for (auto const &part : sharedParts(run->request)) {
        if (crashingParts_.contains(part)) {
            auto const crash = [this, &server, part] {
                crashes_[part].push_back(readLocalClock());
                server.crash();
            };
            if (timeToCrash_ == Duration::zero())
                return crash();
            run->timer = thread_.loop().at(readLocalClock() + timeToCrash_, crash);
            return;
        }
    }
    auto const identity = identityOf(run->request);
    bool const isCrashingItem = run->request.target.starts_with(CrashingPath);
    if (isCrashingItem || crashingRequests_.contains(identity)) {
        auto const crash = [this, &server, identity] {
            crashes_[identity].push_back(readLocalClock());
            server.crash();
        };
        if (isCrashingItem || crashingRequests_.at(identity) == CrashMoment::BeforeResponse) {
            if (timeToCrash_ == Duration::zero())
                return crash();
            // A run whose caller leaves before then ends and crashes nothing.
            run->timer = thread_.loop().at(readLocalClock() + timeToCrash_, crash);
            return;
        }
        server.writeEvent(run);
        run->timer = thread_.loop().at(readLocalClock() + TimeToCrash, crash);
        return;
    }
    if (behaviour_)
        return behaviour_(server, run);
    server.complete(run);
}

void ServingFleet::onCrashed(std::string const &id, std::size_t position)
{
    allCrashes_.push_back(readLocalClock());
    restarts_.push_back(thread_.loop().at(readLocalClock() + RestartTime, [this, id, position] {
        bool const isSameId = idAfterCrash_ == IdAfterCrash::Same;
        if (!isSameId)
            store_->remove("servers", id);
        auto const &crashed = *servers_.at(position);
        // Every other server returns at another address.
        startServer({.id = isSameId ? id : nextServerId(),
                     .address = restarts_.size() % 2 == 0 ? crashed.address() : Address("127.0.0.1:0"),
                     .form = crashed.form(),
                     .version = versionAfterCrash_.value_or(versions_.at(id))});
    }));
}

NodeProcess &ServingFleet::startNode(std::string const &name, Serving::InstanceRole role)
{
    return startNode(name, role, thread_.call([this] { return store_->address(); }));
}

NodeProcess &ServingFleet::startCuttableNode(std::string const &name)
{
    auto const platform = thread_.call([this] {
        if (!cuttableView_)
            cuttableView_ = store_->addView(
                [this](Platform::Kind const &kind, std::string spec) { return kind.value() == "servers" ? recordBehindPath(spec) : spec; });
        return *cuttableView_;
    });
    return startNode(name, Serving::InstanceRole::Entry, platform);
}

void ServingFleet::setCut(Cut cut)
{
    thread_.call([&] {
        cut_ = cut;
        for (auto const &[server, path] : paths_)
            path->setCut(cut);
    });
}

std::string ServingFleet::recordBehindPath(std::string const &spec)
{
    auto record = json::parse(spec).as_object();
    Address const server(std::string(record.at("address").as_string()));
    auto &path = paths_[server];
    if (!path) {
        path = std::make_unique<CuttablePath>(server);
        if (cut_ != Cut::None)
            path->setCut(cut_);
    }
    record["address"] = path->address().value();
    return json::serialize(record);
}

NodeProcess &ServingFleet::startNode(std::string const &name, Serving::InstanceRole role, Address const &platform)
{
    auto const number = static_cast<unsigned>(::getpid());
    auto &node = nodes_[name];
    node = std::make_unique<NodeProcess>(NodeProcess::Options{
        .name = name,
        .role = role,
        .platform = platform,
        .ip = "127." + std::to_string(1 + (number >> 8) % 250) + "." + std::to_string(number % 256) + "." + std::to_string(nodes_.size()),
        .folder = folder_,
        .maxDescriptors = options_.maxDescriptors,
        .memoryMegabytes = options_.memoryMegabytes,
    });
    node->start();
    return *node;
}

void ServingFleet::waitUntilReady(NodeProcess const &entry)
{
    auto const end = readLocalClock() + MaxWait;
    for (;;) {
        auto const answer =
            sendTo(entry.readiness(), {.method = "GET", .target = "/api/readyz", .headers = {{"Host", entry.readiness().value()}}}).get();
        if (answer && answer->status == 200)
            return;
        if (readLocalClock() > end)
            throw std::runtime_error(entry.name() + " does not become ready");
        std::this_thread::sleep_for(PollInterval);
    }
}

void ServingFleet::waitUntilServersAreUp()
{
    waitUntil("all servers are up", [this] {
        auto const up = std::ranges::count_if(servers_, [](auto const &server) { return server->isUp(); });
        return static_cast<std::size_t>(up) == serverCount_;
    });
}

void ServingFleet::waitUntilCrashed(Http::HttpRequest const &request)
{
    waitUntil("a server crashes on a request for " + request.target,
              [this, identity = identityOf(request)] { return crashes_.contains(identity); });
}

void ServingFleet::waitUntil(std::string const &description, std::function<bool()> const &condition)
{
    for (auto const end = readLocalClock() + MaxWait; !thread_.call(condition);) {
        if (readLocalClock() > end)
            throw std::runtime_error("this does not happen: " + description);
        std::this_thread::sleep_for(PollInterval);
    }
}

void ServingFleet::waitUntil(Instant time)
{
    std::this_thread::sleep_until(time);
}

void ServingFleet::addCrashingPart(std::string const &part)
{
    thread_.call([&] { crashingParts_.insert(part); });
}

void ServingFleet::addCrashingRequest(Http::HttpRequest const &request, CrashMoment moment)
{
    thread_.call([&] { crashingRequests_.insert_or_assign(identityOf(request), moment); });
}

void ServingFleet::setBehaviour(ModelServer::Behaviour behaviour)
{
    thread_.call([&] { behaviour_ = std::move(behaviour); });
}

Http::Headers ServingFleet::promptHeaders(Parts const &parts)
{
    std::string prompt;
    for (auto const &part : parts)
        prompt += part + ":100,";
    prompt += "f" + std::to_string(++requests_) + ":50";
    return {{"Anvilyard-Model", "m"},
            {"Anvilyard-Token-Usage", std::to_string(100 * parts.size() + 50) + ",10"},
            {"Anvilyard-Prompt-Prefix", std::move(prompt)}};
}

Http::HttpRequest ServingFleet::requestOf(Parts const &parts)
{
    auto headers = promptHeaders(parts);
    auto const number = std::to_string(requests_);
    headers.append({"Host", "h.example"});
    headers.append({"Anvilyard-Attempt-Id", "r" + number});
    headers.append({"Anvilyard-Deadline-Ms", "5000"});
    return {.method = "POST", .target = "/s/" + number, .headers = std::move(headers), .body = "body " + number};
}

Http::HttpRequest ServingFleet::plainRequest(std::string const &target, std::string const &body)
{
    return {.method = "POST", .target = target, .headers = {{"Host", "h.example"}, {"Anvilyard-Deadline-Ms", "5000"}}, .body = body};
}

std::future<ServingFleet::Answer> ServingFleet::sendAgain(NodeProcess const &entry, Http::HttpRequest request)
{
    request.headers.set("Anvilyard-Attempt-Id", "r" + std::to_string(++requests_));
    return send(entry, std::move(request));
}

std::future<ServingFleet::Answer> ServingFleet::send(NodeProcess const &entry, Http::HttpRequest request)
{
    return sendTo(entry.callers(), std::move(request));
}

std::shared_ptr<ServingFleet::Stream> ServingFleet::openStream(NodeProcess const &entry, Http::HttpRequest request)
{
    auto const stream = std::make_shared<Stream>();
    stream->request = request;
    thread_.call([&] {
        stream->exchange = client_->send({.server = entry.callers(),
                                          .request = std::move(request),
                                          .deadline = readLocalClock() + 10s,
                                          .connection = Http::ClientRequest::Connection::FreshOnly},
                                         {
                                             .onHead = [stream](Http::ResponseHead const &head) { stream->status = head.status; },
                                             .onPiece = [stream](std::string_view piece) { stream->text += piece; },
                                             .onEnd =
                                                 [stream] {
                                                     stream->end = Stream::End::Complete;
                                                     stream->exchange.reset();
                                                 },
                                             .onFailure =
                                                 [stream](Http::ExchangeFailure const &) {
                                                     stream->end = Stream::End::Broken;
                                                     stream->exchange.reset();
                                                 },
                                         });
    });
    return stream;
}

Http::HttpRequest ServingFleet::takeUp(Http::HttpRequest request, std::uint64_t lastEvent)
{
    if (!request.headers.contains("Resumes"))
        request.headers.append({"Resumes", std::string(*request.headers.find("Anvilyard-Attempt-Id"))});
    request.headers.set("Last-Event-Id", std::to_string(lastEvent));
    request.headers.set("Anvilyard-Attempt-Id", "r" + std::to_string(++requests_));
    return request;
}

void ServingFleet::waitUntilEnded(std::vector<std::shared_ptr<Stream>> const &streams)
{
    waitUntil("all streams end",
              [&] { return std::ranges::all_of(streams, [](auto const &stream) { return stream->end != Stream::End::Open; }); });
}

std::future<ServingFleet::TimedAnswer> ServingFleet::sendTimed(NodeProcess const &entry, Http::HttpRequest request)
{
    return sendTimed(entry, std::move(request), Connection::FreshOnly);
}

std::future<ServingFleet::TimedAnswer> ServingFleet::sendKept(NodeProcess const &entry, Http::HttpRequest request)
{
    return sendTimed(entry, std::move(request), Connection::AnyIdle);
}

std::future<ServingFleet::TimedAnswer> ServingFleet::sendTimed(NodeProcess const &entry, Http::HttpRequest request, Connection connection)
{
    auto promise = std::make_shared<std::promise<TimedAnswer>>();
    auto future = promise->get_future();
    auto const sentAt = readLocalClock();
    auto const onDone = [promise, sentAt](Answer answer) {
        promise->set_value({.answer = std::move(answer), .time = readLocalClock() - sentAt});
    };
    fetch(entry.callers(), std::move(request), onDone, connection);
    return future;
}

JobId ServingFleet::submitJob(NodeProcess const &entry, std::size_t items)
{
    auto const job = trySubmitJob(entry, std::vector(items, ItemEnd::Completes));
    if (!job)
        throw std::runtime_error(entry.name() + " does not accept the job");
    return job->id;
}

std::optional<ServingFleet::SubmittedJob> ServingFleet::trySubmitJob(NodeProcess const &entry, std::vector<ItemEnd> const &items)
{
    json::array list;
    auto const number = std::to_string(++requests_);
    SubmittedJob job{.id = JobId("j" + number)};
    for (std::size_t item = 0; item < items.size(); ++item) {
        auto const &id = job.items.emplace_back("i" + number + "-" + std::to_string(item));
        auto const path = std::string(pathOf(items[item])) + id;
        list.push_back(
            json::object{{"id", id}, {"path", path}, {"headers", json::object{}}, {"body", Jobs::encodeBase64(id)}, {"tokens", 10}});
    }
    Http::HttpRequest request{
        .method = "POST",
        .target = "/b/jobs",
        .headers = {{"Host", "h.example"}, {"Anvilyard-Attempt-Id", job.id.value()}, {"Content-Type", "application/json"}},
        .body = json::serialize(json::object{{"items", std::move(list)}})};
    auto const answer = send(entry, std::move(request)).get();
    return answer && answer->status == 202 ? std::optional(std::move(job)) : std::nullopt;
}

std::future<ServingFleet::Answer> ServingFleet::readResults(NodeProcess const &entry, JobId const &job, std::size_t from)
{
    auto target = "/api/lots/" + job.value() + "?after=" + std::to_string(from);
    return send(entry, {.method = "GET", .target = std::move(target), .headers = {{"Host", "h.example"}}});
}

std::future<ServingFleet::Answer> ServingFleet::readBody(NodeProcess const &entry, JobId const &job, std::string const &item)
{
    auto target = "/api/items/" + job.value() + "?id=" + item;
    return send(entry, {.method = "GET", .target = std::move(target), .headers = {{"Host", "h.example"}}});
}

std::optional<std::map<std::string, std::string>> ServingFleet::readStates(NodeProcess const &entry, JobId const &job)
{
    auto const answer = readResults(entry, job, 0).get();
    if (!answer || answer->status != 200)
        return std::nullopt;
    std::map<std::string, std::string> states;
    auto const page = json::parse(answer->body);
    for (auto const &result : page.as_object().at("results").as_array())
        states.emplace(result.at("id").as_string(), result.at("state").as_string());
    return states;
}

std::vector<Instant> ServingFleet::arrivalsOf(std::string const &id)
{
    return thread_.call([&] { return arrivalsById_[id]; });
}

bool ServingFleet::isFinished(std::string const &item)
{
    return thread_.call([&] { return finished_.contains(item) || !rejections_[item].empty(); });
}

std::vector<Instant> ServingFleet::rejections(std::string const &item)
{
    return thread_.call([&] { return rejections_[item]; });
}

std::future<ServingFleet::Answer> ServingFleet::sendTo(Address const &server, Http::HttpRequest request)
{
    auto promise = std::make_shared<std::promise<Answer>>();
    auto future = promise->get_future();
    fetch(server, std::move(request), [promise](Answer answer) { promise->set_value(std::move(answer)); });
    return future;
}

void ServingFleet::fetch(Address const &server, Http::HttpRequest request, std::function<void(Answer)> onDone, Connection connection)
{
    thread_.call([&] {
        client_->fetch({.server = server, .request = std::move(request), .deadline = readLocalClock() + 10s, .connection = connection},
                       std::move(onDone));
    });
}

std::vector<Instant> ServingFleet::arrivals(std::string const &part)
{
    return thread_.call([&] { return arrivals_[part]; });
}

std::vector<Instant> ServingFleet::crashes(std::string const &part)
{
    return thread_.call([&] { return crashes_[part]; });
}

std::vector<Instant> ServingFleet::arrivals(Http::HttpRequest const &request)
{
    return arrivals(identityOf(request));
}

std::vector<Instant> ServingFleet::crashes(Http::HttpRequest const &request)
{
    return crashes(identityOf(request));
}

std::vector<Instant> ServingFleet::crashesOfItem(std::string const &item)
{
    return crashes(plainRequest(std::string(CrashingPath) + item, item));
}

std::vector<Instant> ServingFleet::crashes()
{
    return thread_.call([&] { return allCrashes_; });
}

} // namespace Anvilyard::Tests
