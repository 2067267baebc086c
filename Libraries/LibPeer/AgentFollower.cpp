#include "LibPeer/AgentFollower.h"

#include "LibObserve/Events.h"
#include "LibPeer/PeerCallsContext.h"
#include "LibPeer/PeerCodecContext.h"
#include "LibRules/RuleFileParser.h"
#include "peer.grpc.pb.h"

#include <atomic>
#include <optional>
#include <thread>

namespace Anvilyard::Peer {

namespace {

constexpr auto InitialBackoff = 50ms;
constexpr auto MaxBackoff = 1s;
constexpr auto RaiseTimeout = 1s;
/// A stream stays open as long as both processes run; this only limits the lifetime of an abandoned one.
constexpr auto StreamTimeout = 24h;

using RaiseCall = UnaryCall<peer::RaiseJobsMarkRequest, peer::RaiseJobsMarkReply>;

Fleet::Instance toInstance(Fleet::InstanceRecord const &record)
{
    auto const state = record.state == Fleet::MemberState::Alive ? Fleet::InstanceState::Alive
        : record.state == Fleet::MemberState::Leaving            ? Fleet::InstanceState::Leaving
                                                                 : Fleet::InstanceState::Suspect;
    return {
        .id = record.id,
        .dataCentre = record.dataCentre,
        .state = state,
        .agentAddress = record.agentAddress,
        .entryPeerAddress = record.entryPeerAddress,
        .batchPeerAddress = record.batchPeerAddress,
    };
}

class GrpcAgentFollower final : public AgentFollower
{
public:
    explicit GrpcAgentFollower(AgentFollowerOptions options)
        : options_(std::move(options))
        , key_(options_.sharedKey)
        , channels_(1)
        , thread_([this] { run(); })
    {
    }

    ~GrpcAgentFollower() override
    {
        {
            std::lock_guard const guard(mutex_);
            isStopping_ = true;
            if (stream_ != nullptr)
                stream_->TryCancel();
        }
        wake_.notify_all();
        thread_.join();
        calls_.cancelAll();
    }

    GrpcAgentFollower(GrpcAgentFollower const &) = delete;
    GrpcAgentFollower &operator=(GrpcAgentFollower const &) = delete;

    void raiseJobsMark() override
    {
        auto call = std::make_shared<RaiseCall>();
        if (!calls_.begin(call->context))
            return;
        call->channel = channels_.get(options_.agent);
        prepareCall(call->context, key_, readLocalClock() + RaiseTimeout, {});
        peer::Agent::Stub stub(call->channel);
        stub.async()->RaiseJobsMark(
            &call->context, &call->request, &call->response, [this, call](grpc::Status const &) { calls_.end(call->context); });
    }

private:
    void run()
    {
        auto backoff = Duration(InitialBackoff);
        while (!isStopping()) {
            auto const received = readStream();
            backoff = received > 0 ? Duration(InitialBackoff) : std::min(Duration(MaxBackoff), backoff * 2);
            std::unique_lock lock(mutex_);
            wake_.wait_for(lock, backoff, [this] { return isStopping_; });
        }
    }

    [[nodiscard]] bool isStopping()
    {
        std::lock_guard const guard(mutex_);
        return isStopping_;
    }

    /// Reads one stream to its end and returns the number of views received.
    std::size_t readStream()
    {
        grpc::ClientContext context;
        prepareCall(context, key_, readLocalClock() + StreamTimeout, {});
        if (!setStream(&context))
            return 0;
        auto const channel = channels_.get(options_.agent);
        peer::Agent::Stub stub(channel);
        peer::FollowRequest request;
        request.set_role(options_.role);
        auto const reader = stub.Follow(&context, request);
        peer::FleetViewMessage message;
        std::size_t received = 0;
        std::optional<Generation> unreadable;
        while (reader->Read(&message)) {
            ++received;
            onMessage(message, unreadable);
        }
        reader->Finish();
        setStream(nullptr);
        // The next attempt opens a new connection, since this one may no longer respond.
        channels_.drop(options_.agent, channel);
        return received;
    }

    bool setStream(grpc::ClientContext *context)
    {
        std::lock_guard const guard(mutex_);
        stream_ = context;
        return !isStopping_;
    }

    /// `unreadable`: generation whose rules could not be read on this stream. A stream carries the rules of a generation only once, so
    /// later views of the generation would seem to have no rules at all.
    void onMessage(peer::FleetViewMessage const &message, std::optional<Generation> &unreadable)
    {
        Generation const generation(message.generation());
        if (generation < rules_->generation || generation == unreadable)
            return;
        if (generation > rules_->generation && !updateRules(message.rules_text(), generation)) {
            unreadable = generation;
            return;
        }
        auto view = std::make_shared<Fleet::FleetView>();
        view->rules = rules_;
        for (auto const &server : message.servers())
            view->servers.push_back(decode(server).server);
        for (auto const &instance : message.instances())
            view->instances.push_back(toInstance(decode(instance)));
        view->jobsMark = message.jobs_mark();
        options_.onView(std::move(view));
    }

    bool updateRules(std::string const &text, Generation generation)
    {
        auto rules = Rules::parseRules(text, generation);
        if (!rules) {
            Observe::log(Observe::Events::FollowedRulesUnreadable,
                         {{"generation", std::to_string(generation.value())}, {"fault", rules.error().front().toString()}});
            return false;
        }
        rules_ = std::make_shared<Rules::RuleSet const>(std::move(*rules));
        return true;
    }

    AgentFollowerOptions options_;
    PeerKey key_;
    PeerChannels channels_;
    PeerCalls calls_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool isStopping_ = false;
    grpc::ClientContext *stream_ = nullptr;
    std::shared_ptr<Rules::RuleSet const> rules_ = std::make_shared<Rules::RuleSet const>();
    /// Declared last, since it uses the members above.
    std::thread thread_;
};

} // namespace

std::unique_ptr<AgentFollower> AgentFollower::create(AgentFollowerOptions options)
{
    return std::make_unique<GrpcAgentFollower>(std::move(options));
}

} // namespace Anvilyard::Peer
