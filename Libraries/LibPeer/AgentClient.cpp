#include "LibPeer/AgentClient.h"

#include "LibObserve/Tracing.h"
#include "LibPeer/PeerCallsContext.h"
#include "LibPeer/PeerCodecContext.h"
#include "peer.grpc.pb.h"

namespace Anvilyard::Peer {

namespace {

/// Exchange partners are drawn at random every second. More open channels would use memory and rarely be reused.
constexpr std::size_t MaxChannels = 32;

using ExchangeCall = UnaryCall<peer::ExchangeRequest, peer::ExchangeReply>;
using ProbeCall = UnaryCall<peer::ProbeRequest, peer::ProbeReply>;

class GrpcAgentClient final : public AgentClient
{
public:
    explicit GrpcAgentClient(AgentClientOptions options)
        : options_(std::move(options))
        , key_(options_.sharedKey)
        , channels_(MaxChannels)
    {
    }

    ~GrpcAgentClient() override
    {
        calls_.cancelAll();
    }

    GrpcAgentClient(GrpcAgentClient const &) = delete;
    GrpcAgentClient &operator=(GrpcAgentClient const &) = delete;

    void exchange(Address const &agent, Fleet::Exchange const &request, Instant deadline, ReplyCallback<Fleet::Exchange> onReply) override
    {
        auto call = std::make_shared<ExchangeCall>();
        encode(request, call->request);
        auto const span = startSpan(request);
        if (!start(*call, agent, deadline, span ? span->traceparent() : std::string()))
            return;
        peer::Agent::Stub stub(call->channel);
        stub.async()->Exchange(&call->context,
                               &call->request,
                               &call->response,
                               [this, call, agent, span, onReply = std::move(onReply)](grpc::Status const &status) {
                                   if (span)
                                       span->finish();
                                   finish(*call, agent, status, onReply, [&] { return decode(call->response); });
                               });
    }

    void probe(Address const &agent, Instant deadline, ReplyCallback<ProbeResult> onReply) override
    {
        sendProbe(agent, {}, deadline, std::move(onReply));
    }

    void probeIndirectly(Address const &agent, Address const &target, Instant deadline, ReplyCallback<ProbeResult> onReply) override
    {
        sendProbe(agent, target, deadline, std::move(onReply));
    }

private:
    std::shared_ptr<Observe::Span> startSpan(Fleet::Exchange const &request)
    {
        if (options_.tracer == nullptr || !request.rules)
            return nullptr;
        std::shared_ptr<Observe::Span> span = options_.tracer->startSpan("agent.push-rules", std::nullopt);
        span->tag("generation", std::to_string(request.rules->generation.value()));
        return span;
    }

    void sendProbe(Address const &agent, Address const &target, Instant deadline, ReplyCallback<ProbeResult> onReply)
    {
        auto call = std::make_shared<ProbeCall>();
        call->request.set_from_instance(options_.self.value());
        call->request.set_indirect_agent_address(target.value());
        if (!start(*call, agent, deadline, {}))
            return;
        peer::Agent::Stub stub(call->channel);
        stub.async()->Probe(
            &call->context, &call->request, &call->response, [this, call, agent, onReply = std::move(onReply)](grpc::Status const &status) {
                finish(*call, agent, status, onReply, [&] {
                    return ProbeResult{
                        .reached = call->response.reached(),
                        .incarnation = Fleet::Incarnation(call->response.incarnation()),
                    };
                });
            });
    }

    template<typename Call>
    bool start(Call &call, Address const &agent, Instant deadline, std::string const &traceparent)
    {
        if (!calls_.begin(call.context))
            return false;
        call.channel = channels_.get(agent);
        prepareCall(call.context, key_, deadline, traceparent);
        return true;
    }

    template<typename Call, typename Value, typename DecodeResponse>
    void
    finish(Call &call, Address const &agent, grpc::Status const &status, ReplyCallback<Value> const &onReply, DecodeResponse decodeResponse)
    {
        if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
            channels_.drop(agent, call.channel);
        if (status.ok())
            onReply(decodeResponse());
        else
            onReply(tl::unexpected(toError(status)));
        calls_.end(call.context);
    }

    AgentClientOptions options_;
    PeerKey key_;
    PeerChannels channels_;
    PeerCalls calls_;
};

} // namespace

std::unique_ptr<AgentClient> AgentClient::create(AgentClientOptions options)
{
    return std::make_unique<GrpcAgentClient>(std::move(options));
}

} // namespace Anvilyard::Peer
