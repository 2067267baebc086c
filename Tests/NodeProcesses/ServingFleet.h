#pragma once

#include "LibHttp/HttpClient.h"
#include "Tests/FakeFleet/FleetStoreServer.h"
#include "Tests/Fakes/ScriptedServer.h"
#include "Tests/LibHttp/LoopThread.h"
#include "Tests/NodeProcesses/CuttablePath.h"
#include "Tests/NodeProcesses/ModelServer.h"
#include "Tests/NodeProcesses/NodeProcess.h"

#include <atomic>
#include <future>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Anvilyard::Tests {

/// Node processes, the store and model servers. Servers may state limits, and crash on certain requests: on those whose prompts hold
/// certain parts, and on those that are equal to certain ones. A crashed server is started again, every other one at another address.
class ServingFleet
{
public:
    using Answer = tl::expected<Http::HttpResponse, Http::ExchangeFailure>;
    /// Ids of the parts of a prompt, without the last one, which belongs to the request itself.
    using Parts = std::vector<std::string>;

    enum class CrashMoment {
        /// Before the head of a whole response, or between the head and the first event of a stream; after setTimeToCrash().
        BeforeResponse,
        AfterFirstEvent,
    };
    /// How the runs of an item end.
    enum class ItemEnd {
        Completes,
        /// Servers answer with 500 each time.
        Fails,
        /// Servers answer with 422 each time.
        IsImpossible,
        /// Servers crash each time.
        Crashes,
    };
    struct SubmittedJob {
        JobId id;
        /// Ids of the items, in their order.
        std::vector<std::string> items;
    };
    enum class IdAfterCrash {
        New,
        Same,
    };

    struct Options {
        /// Time after which items that are not done are given up.
        std::chrono::seconds queueTime = 2s;
        /// Time after which the items of a job are due.
        std::chrono::milliseconds completionTarget = 2s;
        /// Limit of open descriptors of node processes; unset for the limit of this program.
        std::optional<std::size_t> maxDescriptors = {};
        /// Memory of the machines of node processes, in MB; unset to leave the setting out.
        std::optional<std::size_t> memoryMegabytes = {};
        /// Customers as a JSON array; empty for none, so that requests need no key.
        std::string customers = {};
    };

    ServingFleet();
    explicit ServingFleet(Options options);
    ~ServingFleet();
    ServingFleet(ServingFleet const &) = delete;
    ServingFleet &operator=(ServingFleet const &) = delete;

    /// Starts servers of the pool that responds in this form.
    void startServers(std::size_t count, ModelServer::ResponseForm form = ModelServer::ResponseForm::EventStream);
    /// Starts servers with event streams whose events name the software version.
    void startServersOf(std::string const &version, std::size_t count);
    /// Starts a server of the pool that sends the bytes of a script, also in response to probes.
    void startScriptedServer(std::string const &pool, ScriptedServer::Script script);
    /// Ends all servers of a version for good.
    void stopServersOf(std::string const &version);
    void crashServerOf(std::string const &version);
    /// Sets the length of the streams of servers that are started later.
    void setStreams(std::uint64_t events, Duration eventGap);
    /// Sets when servers that are started later send the heads of event streams.
    void setHeadMoment(ModelServer::HeadMoment moment);
    /// Sets how long servers that are started later run a request before its first event or whole response.
    void setPromptTime(Duration time);
    /// Sets how many bytes whole responses of servers that are started later have at least.
    void setResponseSize(std::size_t bytes);
    /// Sets how long servers run a request that crashes them before its response begins.
    void setTimeToCrash(Duration time);
    /// Sets what becomes of responses to requests that are started later. Called on the event loop.
    void setResponseFate(std::function<ModelServer::ResponseFate(Http::HttpRequest const &)> fate);
    /// Sets under which id servers that crash later are started again.
    void setIdAfterCrash(IdAfterCrash id);
    /// Sets the software version at which servers that crash later are started again.
    void setVersionAfterCrash(std::string version);
    /// Replaces the desired state by one of a newer version, with so many further routes that get no requests.
    void changeDesiredState(std::size_t idleRoutes);
    /// Replaces the desired state by one of a newer version with these customers, a JSON array.
    void setCustomers(std::string const &customers);
    /// Called on the event loop with each request that reaches a server to be run.
    void setObserver(std::function<void(Http::HttpRequest const &)> observer);
    /// Starts a node whose path to the store setStoreCut() cuts.
    NodeProcess &startNodeBehindPathToStore(std::string const &name, Serving::InstanceRole role);
    void setStoreCut(Cut cut);
    /// Makes the store refuse all calls, or serve them again.
    void setStoreOutage(OutageMode outage);
    void setStoreFaults(PlatformFaults faults);
    /// Silences the server that was started as this one, or a later one in its place.
    void silenceServer(std::size_t position, Duration time);
    /// Crashes the server that was started as this one, or a later one in its place.
    void crashServer(std::size_t position);
    /// Starts a node process without waiting until it is ready.
    NodeProcess &startNode(std::string const &name, Serving::InstanceRole role = Serving::InstanceRole::Entry);
    /// Starts an entry that setCut() cuts off from servers.
    NodeProcess &startCuttableNode(std::string const &name);
    void setCut(Cut cut);
    void waitUntilReady(NodeProcess const &entry);
    /// Waits until no server is down.
    void waitUntilServersAreUp();
    /// Waits until a request that is equal to this one has crashed a server.
    void waitUntilCrashed(Http::HttpRequest const &request);
    /// Polls until the condition holds and throws after a time that is far beyond any of the platform's. The condition is called on the
    /// event loop.
    void waitUntil(std::string const &description, std::function<bool()> const &condition);
    void waitUntil(Instant time);

    /// Sets the limit that a server states in its responses, as text; unset for none.
    void setLimit(std::string const &server, std::optional<std::string> limit);
    /// When requests reached the server, including those that it did not run.
    [[nodiscard]] std::vector<Instant> arrivalsAt(std::string const &server);

    /// Makes servers crash on prompts that hold the part.
    void addCrashingPart(std::string const &part);
    /// Makes servers crash when they run a request that is equal to this one in what comes again: method, target, caller and body.
    void addCrashingRequest(Http::HttpRequest const &request, CrashMoment moment = CrashMoment::BeforeResponse);
    /// Sets what servers do with other requests that are started later.
    void setBehaviour(ModelServer::Behaviour behaviour);

    /// Returns a request of the streaming route, with a prompt of these parts and one of its own.
    [[nodiscard]] Http::HttpRequest requestOf(Parts const &parts);
    /// Headers of a request with a prompt of these parts and one of its own.
    [[nodiscard]] Http::Headers promptHeaders(Parts const &parts);
    /// Returns a request without a prompt.
    [[nodiscard]] static Http::HttpRequest plainRequest(std::string const &target, std::string const &body);
    /// Sends the request under an id of its own.
    std::future<Answer> sendAgain(NodeProcess const &entry, Http::HttpRequest request);
    std::future<Answer> send(NodeProcess const &entry, Http::HttpRequest request);
    /// Servers that have run the attempt and whether each of them has crashed since.
    [[nodiscard]] std::map<std::string, bool> serversOf(std::string const &attempt);
    /// Response of which parts may have arrived. Its end is set on the event loop; the rest may be read after that.
    struct Stream {
        enum class End {
            Open,
            Complete,
            Broken,
        };

        Http::HttpRequest request;
        std::optional<int> status;
        std::string text;
        std::atomic<End> end = End::Open;
        std::shared_ptr<Http::Exchange> exchange;
    };
    std::shared_ptr<Stream> openStream(NodeProcess const &entry, Http::HttpRequest request);
    /// Returns the request with which a caller goes on after the event.
    Http::HttpRequest takeUp(Http::HttpRequest request, std::uint64_t lastEvent);
    void waitUntilEnded(std::vector<std::shared_ptr<Stream>> const &streams);
    struct TimedAnswer {
        Answer answer;
        /// From the request to the end of the answer.
        Duration time{0};
    };
    std::future<TimedAnswer> sendTimed(NodeProcess const &entry, Http::HttpRequest request);
    /// Sends the request on a kept connection if there is one. The connection is kept for the next request.
    std::future<TimedAnswer> sendKept(NodeProcess const &entry, Http::HttpRequest request);
    /// Submits a batch job with so many items and waits until it is accepted.
    JobId submitJob(NodeProcess const &entry, std::size_t items);
    /// Submits a batch job with such items; `std::nullopt` if it is not accepted.
    std::optional<SubmittedJob> trySubmitJob(NodeProcess const &entry, std::vector<ItemEnd> const &items);
    /// Asks for the results of a job from a position on.
    std::future<Answer> readResults(NodeProcess const &entry, JobId const &job, std::size_t from);
    /// Asks for the body of an item, which is its id.
    std::future<Answer> readBody(NodeProcess const &entry, JobId const &job, std::string const &item);
    /// States of the listed items of a job by item; `std::nullopt` if they cannot be read.
    std::optional<std::map<std::string, std::string>> readStates(NodeProcess const &entry, JobId const &job);
    /// When the item reached servers, or the attempt with this id.
    [[nodiscard]] std::vector<Instant> arrivalsOf(std::string const &id);
    /// Whether a server has generated the whole response to the item, or has answered it with an error.
    [[nodiscard]] bool isFinished(std::string const &item);
    /// When servers answered runs of the item with an error response.
    [[nodiscard]] std::vector<Instant> rejections(std::string const &item);

    /// When requests whose prompts hold the part reached servers.
    [[nodiscard]] std::vector<Instant> arrivals(std::string const &part);
    /// When servers crashed on requests whose prompts hold the part.
    [[nodiscard]] std::vector<Instant> crashes(std::string const &part);

    /// When requests that are equal to this one reached servers, also servers that did not run them.
    [[nodiscard]] std::vector<Instant> arrivals(Http::HttpRequest const &request);
    /// When servers crashed on requests that are equal to this one.
    [[nodiscard]] std::vector<Instant> crashes(Http::HttpRequest const &request);
    /// When servers crashed on an item.
    [[nodiscard]] std::vector<Instant> crashesOfItem(std::string const &item);
    /// When servers crashed, for any reason.
    [[nodiscard]] std::vector<Instant> crashes();

private:
    struct Start {
        std::string id;
        Address address;
        ModelServer::ResponseForm form;
        std::string version = {};
    };

    using Connection = Http::ClientRequest::Connection;

    std::future<TimedAnswer> sendTimed(NodeProcess const &entry, Http::HttpRequest request, Connection connection);
    void fetch(Address const &server,
               Http::HttpRequest request,
               std::function<void(Answer)> onDone,
               Connection connection = Connection::FreshOnly);
    [[nodiscard]] ModelServer *findUp(std::size_t position);
    std::future<Answer> sendTo(Address const &server, Http::HttpRequest request);
    NodeProcess &startNode(std::string const &name, Serving::InstanceRole role, Address const &platform);
    /// Record of a server as entries get it that may be cut off.
    [[nodiscard]] std::string recordBehindPath(std::string const &spec);
    void startServer(Start const &start);
    [[nodiscard]] std::string nextServerId() const;
    void onReceived(std::string const &server, Http::HttpRequest const &request);
    void onRun(ModelServer &server, std::shared_ptr<ModelServer::Run> const &run);
    void onCrashed(std::string const &id, std::size_t position);

    Options options_;
    std::uint64_t stateVersion_ = 1;
    std::function<void(Http::HttpRequest const &)> observer_ = [](auto const &) {};
    std::unique_ptr<CuttablePath> storePath_;
    std::filesystem::path folder_;
    LoopThread thread_;
    std::unique_ptr<FleetStoreServer> store_;
    Cut cut_ = Cut::None;
    /// Paths of the entries that may be cut off, by the address of the server.
    std::map<Address, std::unique_ptr<CuttablePath>> paths_;
    std::optional<Address> cuttableView_;
    std::shared_ptr<Http::HttpClient> client_;
    std::size_t serverCount_ = 0;
    std::uint64_t events_ = 10;
    Duration eventGap_ = 10ms;
    Duration promptTime_ = 30ms;
    std::size_t minResponseBytes_ = 0;
    Duration timeToCrash_{0};
    std::function<ModelServer::ResponseFate(Http::HttpRequest const &)> responseFate_;
    ModelServer::HeadMoment headMoment_ = ModelServer::HeadMoment::RunBegins;
    /// By server.
    std::map<std::string, std::string> versions_;
    /// Crashed servers stay, because callbacks of their connections may refer to them.
    std::vector<std::unique_ptr<ModelServer>> servers_;
    std::vector<std::unique_ptr<ScriptedServer>> scriptedServers_;
    IdAfterCrash idAfterCrash_ = IdAfterCrash::New;
    /// Unset for the version that the server had.
    std::optional<std::string> versionAfterCrash_;
    std::vector<std::unique_ptr<Http::Timer>> restarts_;
    ModelServer::Behaviour behaviour_;
    std::set<std::string> crashingParts_;
    /// By what comes again of a request.
    std::map<std::string, CrashMoment> crashingRequests_;
    /// By part, and by what comes again of a request.
    std::map<std::string, std::vector<Instant>> arrivals_;
    std::map<std::string, std::vector<Instant>> crashes_;
    /// By the id of an attempt or item.
    std::map<std::string, std::vector<Instant>> arrivalsById_;
    std::map<std::string, std::vector<Instant>> rejections_;
    /// Ids of attempts and items whose whole response a server has generated.
    std::set<std::string> finished_;
    /// Positions in servers_ of those that have run an attempt, by its id.
    std::map<std::string, std::set<std::size_t>> runServers_;
    std::vector<Instant> allCrashes_;
    std::map<std::string, std::string> limits_;
    std::map<std::string, std::vector<Instant>> arrivalsByServer_;
    std::map<std::string, std::unique_ptr<NodeProcess>> nodes_;
    std::size_t requests_ = 0;
};

} // namespace Anvilyard::Tests
