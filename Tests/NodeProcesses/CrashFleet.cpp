#include "Tests/NodeProcesses/CrashFleet.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace Anvilyard::Tests {

namespace {

constexpr Duration RestartTime = 500ms;
constexpr Duration PollInterval = 10ms;
constexpr Duration MaxWait = 60s;

CrashFleet::Parts sharedParts(Http::HttpRequest const &request)
{
    CrashFleet::Parts parts;
    std::string text(request.headers.find("Anvilyard-Prompt-Prefix").value_or(""));
    for (auto comma = text.find(','); comma != std::string::npos; comma = text.find(',')) {
        parts.push_back(text.substr(0, text.find(':')));
        text.erase(0, comma + 1);
    }
    return parts;
}

constexpr std::string_view DesiredState = R"({"version":1,"routes":[
    {"name":"s","host":"h.example","pathPrefix":"/s/","kind":"streaming","timeoutMs":5000,"sloMs":300,"priority":0,"service":"p",
     "attempts":2,"resumable":true,"gapAimMs":600,"sessionAffinity":true},
    {"name":"b","host":"h.example","pathPrefix":"/b/","kind":"batch","timeoutMs":15000,"sloMs":400,"priority":2,"service":"p",
     "attempts":3,"completionTargetMs":2000,"queueTtlS":2,"cap":100000}],
    "services":[{"name":"p","healthPath":"/healthz","maxConns":100}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

} // namespace

CrashFleet::CrashFleet()
{
    auto folder = (std::filesystem::temp_directory_path() / "anvilyard-test-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        throw std::system_error(errno, std::generic_category(), folder);
    folder_ = folder;
    thread_.call([this] {
        store_ = std::make_unique<FleetStoreServer>(thread_.loop());
        store_->put("config", "main", std::string(DesiredState));
        client_ = Http::HttpClient::create(thread_.loop(), {});
    });
}

CrashFleet::~CrashFleet()
{
    nodes_.clear();
    thread_.call([this] {
        restarts_.clear();
        servers_.clear();
        client_.reset();
        store_.reset();
    });
    if (::testing::Test::HasFailure())
        GTEST_LOG_(INFO) << "logs of the node processes: " << folder_;
    else
        std::filesystem::remove_all(folder_);
}

void CrashFleet::startServers(std::size_t count)
{
    serverCount_ = count;
    thread_.call([&] {
        for (std::size_t started = 0; started < count; ++started)
            startServer(Address("127.0.0.1:0"));
    });
}

void CrashFleet::startServer(Address const &address)
{
    auto const id = "i-" + std::to_string(servers_.size());
    auto server = std::make_unique<ModelServer>(
        thread_.loop(),
        ModelServer::Options{
            .id = id,
            .listen = address,
            .behaviour = [this](ModelServer &started, std::shared_ptr<ModelServer::Run> const &run) { onRun(started, run); },
            .onReceived =
                [this](Http::HttpRequest const &request) {
                    for (auto const &part : sharedParts(request))
                        arrivals_[part].push_back(readLocalClock());
                },
            .onCrashed = [this, id] { onCrashed(id); },
        });
    auto const born = std::chrono::duration_cast<std::chrono::milliseconds>(readClocks().wall.time_since_epoch()).count();
    store_->put("servers",
                id,
                R"({"service":"p","address":")" + server->address().value() + R"(","zone":"dc","slots":4,"state":"ready","born":)"
                    + std::to_string(born) + "}");
    servers_.emplace(id, std::move(server));
}

void CrashFleet::onRun(ModelServer &server, std::shared_ptr<ModelServer::Run> const &run)
{
    for (auto const &part : sharedParts(run->request)) {
        if (crashingParts_.contains(part)) {
            crashes_[part].push_back(readLocalClock());
            return server.crash();
        }
    }
    if (behaviour_)
        return behaviour_(server, run);
    server.writeEvents(run);
}

void CrashFleet::onCrashed(std::string const &id)
{
    restarts_.push_back(thread_.loop().at(readLocalClock() + RestartTime, [this, id] {
        store_->remove("servers", id);
        // Every other server returns at another address.
        startServer(restarts_.size() % 2 == 0 ? servers_.at(id)->address() : Address("127.0.0.1:0"));
    }));
}

NodeProcess &CrashFleet::startNode(std::string const &name, Serving::InstanceRole role)
{
    auto const number = static_cast<unsigned>(::getpid());
    auto &node = nodes_[name];
    node = std::make_unique<NodeProcess>(NodeProcess::Options{
        .name = name,
        .role = role,
        .platform = thread_.call([this] { return store_->address(); }),
        .ip = "127." + std::to_string(1 + (number >> 8) % 250) + "." + std::to_string(number % 256) + "." + std::to_string(nodes_.size()),
        .folder = folder_,
    });
    node->start();
    return *node;
}

void CrashFleet::waitUntilReady(NodeProcess const &entry)
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

void CrashFleet::waitUntilServersAreUp()
{
    waitUntil("all servers are up", [this] {
        auto const up = std::ranges::count_if(servers_, [](auto const &server) { return server.second->isUp(); });
        return static_cast<std::size_t>(up) == serverCount_;
    });
}

void CrashFleet::waitUntil(std::string const &description, std::function<bool()> const &condition)
{
    for (auto const end = readLocalClock() + MaxWait; !thread_.call(condition);) {
        if (readLocalClock() > end)
            throw std::runtime_error("this does not happen: " + description);
        std::this_thread::sleep_for(PollInterval);
    }
}

void CrashFleet::waitUntil(Instant time)
{
    std::this_thread::sleep_until(time);
}

void CrashFleet::addCrashingPart(std::string const &part)
{
    thread_.call([&] { crashingParts_.insert(part); });
}

void CrashFleet::setBehaviour(ModelServer::Behaviour behaviour)
{
    thread_.call([&] { behaviour_ = std::move(behaviour); });
}

Http::Headers CrashFleet::promptHeaders(Parts const &parts)
{
    std::string prompt;
    for (auto const &part : parts)
        prompt += part + ":100,";
    prompt += "f" + std::to_string(++requests_) + ":50";
    return {{"Anvilyard-Model", "m"},
            {"Anvilyard-Token-Usage", std::to_string(100 * parts.size() + 50) + ",10"},
            {"Anvilyard-Prompt-Prefix", std::move(prompt)}};
}

Http::HttpRequest CrashFleet::requestOf(Parts const &parts)
{
    auto headers = promptHeaders(parts);
    auto const number = std::to_string(requests_);
    headers.append({"Host", "h.example"});
    headers.append({"Anvilyard-Attempt-Id", "r" + number});
    headers.append({"Anvilyard-Deadline-Ms", "5000"});
    return {.method = "POST", .target = "/s/" + number, .headers = std::move(headers), .body = "body " + number};
}

std::future<CrashFleet::Answer> CrashFleet::send(NodeProcess const &entry, Http::HttpRequest request)
{
    return sendTo(entry.callers(), std::move(request));
}

std::future<CrashFleet::Answer> CrashFleet::sendTo(Address const &server, Http::HttpRequest request)
{
    auto promise = std::make_shared<std::promise<Answer>>();
    auto future = promise->get_future();
    thread_.call([&] {
        client_->fetch({.server = server,
                        .request = std::move(request),
                        .deadline = readLocalClock() + 10s,
                        .connection = Http::ClientRequest::Connection::FreshOnly},
                       [promise](Answer answer) { promise->set_value(std::move(answer)); });
    });
    return future;
}

std::vector<Instant> CrashFleet::arrivals(std::string const &part)
{
    return thread_.call([&] { return arrivals_[part]; });
}

std::vector<Instant> CrashFleet::crashes(std::string const &part)
{
    return thread_.call([&] { return crashes_[part]; });
}

} // namespace Anvilyard::Tests
