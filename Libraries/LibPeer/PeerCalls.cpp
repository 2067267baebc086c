#include "LibPeer/PeerCallsContext.h"
#include "LibPeer/PeerError.h"
#include "peer.grpc.pb.h"

#include <algorithm>

namespace Anvilyard::Peer {

namespace peer = ::anvilyard::peer;

namespace {

// Pings distinguish a dead connection from an idle one.
constexpr int KeepAliveTimeMilliseconds = 5'000;
constexpr int KeepAliveTimeoutMilliseconds = 2'000;
constexpr int InitialReconnectDelayMilliseconds = 100;
// gRPC allows a connection attempt at least this long, so it must not be shorter than a slow handshake.
constexpr int ConnectTimeoutMilliseconds = 1'000;
constexpr int MaxReconnectDelayMilliseconds = 2'000;

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepAliveTimeMilliseconds);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepAliveTimeoutMilliseconds);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, InitialReconnectDelayMilliseconds);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ConnectTimeoutMilliseconds);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectDelayMilliseconds);
    // A new channel must not reuse the unresponsive connection of the channel that it replaces.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_MAX_RECEIVE_MESSAGE_LENGTH, MaxMessageBytes);
    return arguments;
}

PeerError toPeerError(grpc::StatusCode code)
{
    switch (code) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
        return PeerError::TimedOut;
    case grpc::StatusCode::UNAUTHENTICATED:
        return PeerError::KeyRejected;
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
        return PeerError::MessageTooLarge;
    case grpc::StatusCode::CANCELLED:
        return PeerError::Cancelled;
    case grpc::StatusCode::UNAVAILABLE:
        return PeerError::Unreachable;
    default:
        return PeerError::InvalidResponse;
    }
}

} // namespace

Error toError(grpc::Status const &status)
{
    return {.code = make_error_code(toPeerError(status.error_code())), .detail = status.error_message()};
}

void prepareCall(grpc::ClientContext &context, PeerKey const &key, Instant deadline, std::string_view traceparent)
{
    context.set_deadline(std::chrono::system_clock::now() + (deadline - readLocalClock()));
    if (!key.isEmpty())
        context.AddMetadata(KeyMetadata, key.proof());
    if (!traceparent.empty())
        context.AddMetadata(TraceMetadata, std::string(traceparent));
}

void retainCallbackThreads()
{
    // A channel keeps the threads alive from its first callback call on. This one is never freed, so no other channel is the
    // last one. The pointer is volatile so that the compiler keeps it and leak checkers can reach the object.
    static auto *const volatile retainedCall = [] {
        auto *call = new UnaryCall<peer::ProbeRequest, peer::ProbeReply>();
        call->channel = grpc::CreateChannel("127.0.0.1:1", grpc::InsecureChannelCredentials());
        // The deadline has already passed, so nothing is sent.
        call->context.set_deadline(std::chrono::system_clock::now() - 1s);
        peer::Agent::Stub stub(call->channel);
        stub.async()->Probe(&call->context, &call->request, &call->response, [](grpc::Status const &) {});
        return call;
    }();
    static_cast<void>(retainedCall);
}

PeerChannels::PeerChannels(std::size_t limit)
    : limit_(limit)
{
    retainCallbackThreads();
}

std::shared_ptr<grpc::Channel> PeerChannels::get(Address const &address)
{
    std::lock_guard const guard(mutex_);
    auto const found = std::find_if(entries_.begin(), entries_.end(), [&](auto const &entry) { return entry.address == address; });
    if (found != entries_.end()) {
        entries_.splice(entries_.begin(), entries_, found);
    } else {
        auto channel = grpc::CreateCustomChannel(address.value(), grpc::InsecureChannelCredentials(), channelArguments());
        entries_.push_front({.address = address, .channel = std::move(channel)});
        if (entries_.size() > limit_)
            entries_.pop_back();
    }
    return entries_.front().channel;
}

void PeerChannels::drop(Address const &address, std::shared_ptr<grpc::Channel> const &channel)
{
    std::lock_guard const guard(mutex_);
    entries_.remove_if([&](auto const &entry) { return entry.address == address && entry.channel == channel; });
}

PeerCalls::~PeerCalls()
{
    cancelAll();
}

bool PeerCalls::begin(grpc::ClientContext &context)
{
    std::lock_guard const guard(mutex_);
    if (isStopping_)
        return false;
    contexts_.insert(&context);
    return true;
}

void PeerCalls::end(grpc::ClientContext &context)
{
    std::lock_guard const guard(mutex_);
    contexts_.erase(&context);
    changed_.notify_all();
}

void PeerCalls::cancelAll()
{
    std::unique_lock lock(mutex_);
    isStopping_ = true;
    for (auto *context : contexts_)
        context->TryCancel();
    changed_.wait(lock, [this] { return contexts_.empty(); });
}

} // namespace Anvilyard::Peer
