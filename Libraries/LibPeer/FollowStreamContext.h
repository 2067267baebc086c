#pragma once

#include "LibPeer/AgentServer.h"
#include "peer.grpc.pb.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace Anvilyard::Peer {

/// One follower's stream of views; deletes itself when gRPC releases it. Included by .cpp files only.
class FollowStream final : public grpc::ServerWriteReactor<::anvilyard::peer::FleetViewMessage>
{
public:
    explicit FollowStream(std::function<void(FollowStream *)> onDone);

    /// Sends the view once the previous write has finished. Replaces a view that is still pending.
    void enqueue(std::shared_ptr<PublishedView const> view);
    void end(grpc::Status const &status);

    void OnWriteDone(bool written) override;
    void OnCancel() override;
    void OnDone() override;

private:
    enum class Phase {
        Idle,
        Writing,
        Ended,
    };

    void fillMessage(PublishedView const &view);
    void writePending(std::unique_lock<std::mutex> &lock);

    std::function<void(FollowStream *)> onDone_;
    std::mutex mutex_;
    Phase phase_ = Phase::Idle;
    std::shared_ptr<PublishedView const> pendingView_;
    /// Generation whose rules text was last sent on this stream.
    std::optional<Generation> sentGeneration_;
    ::anvilyard::peer::FleetViewMessage message_;
};

} // namespace Anvilyard::Peer
