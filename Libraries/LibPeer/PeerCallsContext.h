#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibPeer/PeerKey.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string_view>

#include <grpcpp/grpcpp.h>

/// Shared code of all peer clients. Included by .cpp files only, since gRPC's headers are slow to compile.
namespace Anvilyard::Peer {

inline constexpr char KeyMetadata[] = "anvilyard-key-bin";
inline constexpr char TraceMetadata[] = "traceparent";
/// Larger than any rules file with its message overhead.
inline constexpr int MaxMessageBytes = 2 * 1024 * 1024;

Error toError(grpc::Status const &status);

/// Keeps gRPC's callback threads running until the process ends. gRPC joins them when the last channel or server is destroyed.
/// If that happens on one of these threads, for example at the end of a call's callback, the process terminates.
void retainCallbackThreads();

/// Sets the deadline, the key and the trace context of a call.
void prepareCall(grpc::ClientContext &context, PeerKey const &key, Instant deadline, std::string_view traceparent);

/// Cache with one channel per address; evicts the least recently used channel beyond a limit. Thread-safe.
class PeerChannels
{
public:
    explicit PeerChannels(std::size_t limit);
    std::shared_ptr<grpc::Channel> get(Address const &address);
    /// Removes a channel that no longer responds, so that the next call opens a new connection.
    void drop(Address const &address, std::shared_ptr<grpc::Channel> const &channel);

private:
    struct Entry {
        Address address;
        std::shared_ptr<grpc::Channel> channel;
    };

    std::mutex mutex_;
    /// Most recently used first.
    std::list<Entry> entries_;
    std::size_t limit_;
};

/// Calls in flight of one client. The destructor cancels them and waits until no callback can run any more.
class PeerCalls
{
public:
    ~PeerCalls();
    /// Returns false if the client is stopping; the call must not be started then.
    [[nodiscard]] bool begin(grpc::ClientContext &context);
    void end(grpc::ClientContext &context);
    void cancelAll();

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<grpc::ClientContext *> contexts_;
    bool isStopping_ = false;
};

/// A unary call with the objects that must outlive its callback.
template<typename Request, typename Response>
struct UnaryCall {
    grpc::ClientContext context;
    Request request;
    Response response;
    std::shared_ptr<grpc::Channel> channel;
};

} // namespace Anvilyard::Peer
