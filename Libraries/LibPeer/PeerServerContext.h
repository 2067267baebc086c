#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibPeer/PeerKey.h"

#include <memory>
#include <string>

#include <grpcpp/grpcpp.h>

/// Shared code of all peer servers. Included by .cpp files only, since gRPC's headers are slow to compile.
namespace Anvilyard::Peer {

/// A listening gRPC server with one service.
class PeerServer
{
public:
    /// The service must outlive the server.
    static Result<std::unique_ptr<PeerServer>> create(Address const &listen, grpc::Service &service);
    ~PeerServer();
    PeerServer(PeerServer const &) = delete;
    PeerServer &operator=(PeerServer const &) = delete;

    [[nodiscard]] Address address() const;
    /// Rejects new calls, waits up to one second for running ones, cancels the rest and returns when all have ended.
    void shutDown();

private:
    PeerServer(std::unique_ptr<grpc::Server> server, Address address);

    std::unique_ptr<grpc::Server> server_;
    Address address_;
};

/// Returns OK if the call carries the key, otherwise UNAUTHENTICATED. Compares in constant time.
grpc::Status checkKey(grpc::ServerContextBase const &context, PeerKey const &key);
/// Returns the trace context of the caller, or an empty string.
std::string traceparentOf(grpc::ServerContextBase const &context);

} // namespace Anvilyard::Peer
