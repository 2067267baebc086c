#include "LibPeer/PeerCallsContext.h"
#include "LibPeer/PeerError.h"
#include "LibPeer/PeerServerContext.h"

namespace Anvilyard::Peer {

namespace {

constexpr auto ShutdownTimeout = 1s;
constexpr int MinPingIntervalMilliseconds = 1'000;

std::string_view metadataOf(grpc::ServerContextBase const &context, char const *name)
{
    auto const &metadata = context.client_metadata();
    auto const found = metadata.find(name);
    return found == metadata.end() ? std::string_view() : std::string_view(found->second.data(), found->second.size());
}

Address withPort(Address const &address, int port)
{
    auto const &text = address.value();
    return Address(text.substr(0, text.rfind(':') + 1) + std::to_string(port));
}

} // namespace

Result<std::unique_ptr<PeerServer>> PeerServer::create(Address const &listen, grpc::Service &service)
{
    retainCallbackThreads();
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(listen.value(), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service);
    builder.SetMaxReceiveMessageSize(MaxMessageBytes);
    // With port reuse, two processes configured with the same port by mistake would each receive part of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, MinPingIntervalMilliseconds);
    auto server = builder.BuildAndStart();
    if (!server || port == 0)
        return failure(PeerError::BindFailed, listen.value());
    return std::unique_ptr<PeerServer>(new PeerServer(std::move(server), withPort(listen, port)));
}

PeerServer::PeerServer(std::unique_ptr<grpc::Server> server, Address address)
    : server_(std::move(server))
    , address_(std::move(address))
{
}

PeerServer::~PeerServer()
{
    shutDown();
}

Address PeerServer::address() const
{
    return address_;
}

void PeerServer::shutDown()
{
    server_->Shutdown(std::chrono::system_clock::now() + ShutdownTimeout);
    server_->Wait();
}

grpc::Status checkKey(grpc::ServerContextBase const &context, PeerKey const &key)
{
    if (key.accepts(metadataOf(context, KeyMetadata)))
        return grpc::Status::OK;
    return {grpc::StatusCode::UNAUTHENTICATED, "the fleet's shared key is missing or wrong"};
}

std::string traceparentOf(grpc::ServerContextBase const &context)
{
    return std::string(metadataOf(context, TraceMetadata));
}

} // namespace Anvilyard::Peer
