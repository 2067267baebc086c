#include "LibPeer/AgentServer.h"

#include "LibObserve/Tracing.h"
#include "LibPeer/FollowStreamContext.h"
#include "LibPeer/PeerCodecContext.h"
#include "LibPeer/PeerServerContext.h"

#include <condition_variable>
#include <set>
#include <variant>

namespace Anvilyard::Peer {

namespace {

/// Ends a unary call exactly once. The destructor ends a call that has had no reply, so that no call hangs.
class PendingReply
{
public:
    explicit PendingReply(grpc::ServerUnaryReactor *reactor)
        : reactor_(reactor)
    {
    }

    ~PendingReply()
    {
        if (!isFinished_.exchange(true))
            reactor_->Finish({grpc::StatusCode::UNAVAILABLE, "the agent is stopping"});
    }

    PendingReply(PendingReply const &) = delete;
    PendingReply &operator=(PendingReply const &) = delete;

    template<typename Fill>
    void finish(Fill fill)
    {
        if (isFinished_.exchange(true))
            return;
        fill();
        reactor_->Finish(grpc::Status::OK);
    }

private:
    grpc::ServerUnaryReactor *reactor_;
    std::atomic<bool> isFinished_{false};
};

/// Checks the key, then passes `handle` a PendingReply for its response.
template<typename Handle>
grpc::ServerUnaryReactor *handleCall(grpc::CallbackServerContext &context, PeerKey const &key, Handle handle)
{
    auto *reactor = context.DefaultReactor();
    if (auto const status = checkKey(context, key); !status.ok())
        reactor->Finish(status);
    else
        handle(std::make_shared<PendingReply>(reactor));
    return reactor;
}

class AgentService final : public peer::Agent::CallbackService
{
public:
    explicit AgentService(AgentServerOptions options)
        : options_(std::move(options))
        , key_(options_.sharedKey)
    {
    }

    grpc::ServerUnaryReactor *
    Exchange(grpc::CallbackServerContext *context, peer::ExchangeRequest const *request, peer::ExchangeReply *reply) override
    {
        return handleCall(*context, key_, [&](auto const &pending) {
            auto const span = startSpan(*context, *request);
            options_.onExchange(decode(*request), [pending, reply, span](Fleet::Exchange const &response) {
                pending->finish([&] { encode(response, *reply); });
            });
        });
    }

    grpc::ServerUnaryReactor *
    Probe(grpc::CallbackServerContext *context, peer::ProbeRequest const *request, peer::ProbeReply *reply) override
    {
        return handleCall(*context, key_, [&](auto const &pending) {
            Responder<ProbeResult> const respond = [pending, reply](ProbeResult const &value) {
                pending->finish([&] {
                    reply->set_reached(value.reached);
                    reply->set_incarnation(value.incarnation.value());
                });
            };
            if (request->indirect_agent_address().empty())
                options_.onProbe(respond);
            else
                options_.onIndirectProbe(Address(request->indirect_agent_address()), respond);
        });
    }

    grpc::ServerUnaryReactor *
    RaiseJobsMark(grpc::CallbackServerContext *context, peer::RaiseJobsMarkRequest const *, peer::RaiseJobsMarkReply *reply) override
    {
        return handleCall(*context, key_, [&](auto const &pending) {
            options_.onRaiseJobsMark([pending, reply](std::uint64_t mark) { pending->finish([&] { reply->set_jobs_mark(mark); }); });
        });
    }

    grpc::ServerWriteReactor<peer::FleetViewMessage> *Follow(grpc::CallbackServerContext *context, peer::FollowRequest const *) override
    {
        auto *stream = new FollowStream([this](FollowStream *closed) { removeStream(closed); });
        auto const status = checkKey(*context, key_);
        std::lock_guard const guard(mutex_);
        streams_.insert(stream);
        if (!status.ok()) {
            stream->end(status);
        } else if (isStopping_) {
            stream->end({grpc::StatusCode::UNAVAILABLE, "the agent is stopping"});
        } else {
            followers_.insert(stream);
            // Enqueued under the lock; otherwise this view could replace a newer one.
            if (latestView_)
                stream->enqueue(latestView_);
        }
        return stream;
    }

    void publish(PublishedView view)
    {
        auto const latest = std::make_shared<PublishedView const>(std::move(view));
        std::lock_guard const guard(mutex_);
        latestView_ = latest;
        for (auto *stream : followers_)
            stream->enqueue(latest);
    }

    [[nodiscard]] std::size_t followerCount() const
    {
        std::lock_guard const guard(mutex_);
        return followers_.size();
    }

    void endStreams()
    {
        std::unique_lock lock(mutex_);
        isStopping_ = true;
        for (auto *stream : streams_)
            stream->end({grpc::StatusCode::UNAVAILABLE, "the agent is stopping"});
        changed_.wait(lock, [this] { return streams_.empty(); });
    }

private:
    std::shared_ptr<Observe::Span> startSpan(grpc::CallbackServerContext const &context, peer::ExchangeRequest const &request)
    {
        if (options_.tracer == nullptr || !request.has_rules())
            return nullptr;
        std::shared_ptr<Observe::Span> span = options_.tracer->startSpan("agent.take-rules", traceparentOf(context));
        span->tag("generation", std::to_string(request.rules().generation()));
        return span;
    }

    void removeStream(FollowStream *stream)
    {
        std::lock_guard const guard(mutex_);
        followers_.erase(stream);
        streams_.erase(stream);
        changed_.notify_all();
    }

    AgentServerOptions options_;
    PeerKey key_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    /// All streams that gRPC has not released yet.
    std::set<FollowStream *> streams_;
    /// Streams whose key was accepted.
    std::set<FollowStream *> followers_;
    std::shared_ptr<PublishedView const> latestView_;
    bool isStopping_ = false;
};

class GrpcAgentServer final : public AgentServer
{
public:
    explicit GrpcAgentServer(AgentServerOptions options)
        : service_(std::move(options))
    {
    }

    ~GrpcAgentServer() override
    {
        service_.endStreams();
        server_.reset();
    }

    GrpcAgentServer(GrpcAgentServer const &) = delete;
    GrpcAgentServer &operator=(GrpcAgentServer const &) = delete;

    Result<std::monostate> listen(Address const &address)
    {
        auto server = PeerServer::create(address, service_);
        if (!server)
            return tl::unexpected(server.error());
        server_ = std::move(*server);
        return std::monostate{};
    }

    [[nodiscard]] Address address() const override
    {
        return server_->address();
    }

    void publish(PublishedView view) override
    {
        service_.publish(std::move(view));
    }

    [[nodiscard]] std::size_t followerCount() const override
    {
        return service_.followerCount();
    }

private:
    AgentService service_;
    std::unique_ptr<PeerServer> server_;
};

} // namespace

Result<std::unique_ptr<AgentServer>> AgentServer::create(AgentServerOptions options)
{
    auto const listen = options.listen;
    auto server = std::make_unique<GrpcAgentServer>(std::move(options));
    if (auto const outcome = server->listen(listen); !outcome)
        return tl::unexpected(outcome.error());
    return server;
}

} // namespace Anvilyard::Peer
