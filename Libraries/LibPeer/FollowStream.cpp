#include "LibPeer/FollowStreamContext.h"

#include "LibPeer/PeerCodecContext.h"

namespace Anvilyard::Peer {

namespace {

Fleet::InstanceRecord toRecord(Fleet::Instance const &instance)
{
    auto const state = instance.state == Fleet::InstanceState::Alive ? Fleet::MemberState::Alive
        : instance.state == Fleet::InstanceState::Leaving            ? Fleet::MemberState::Leaving
                                                                     : Fleet::MemberState::Suspect;
    return {
        .id = instance.id,
        .dataCentre = instance.dataCentre,
        .state = state,
        .agentAddress = instance.agentAddress,
        .entryPeerAddress = instance.entryPeerAddress,
        .batchPeerAddress = instance.batchPeerAddress,
    };
}

} // namespace

FollowStream::FollowStream(std::function<void(FollowStream *)> onDone)
    : onDone_(std::move(onDone))
{
}

void FollowStream::enqueue(std::shared_ptr<PublishedView const> view)
{
    std::unique_lock lock(mutex_);
    if (phase_ == Phase::Ended)
        return;
    pendingView_ = std::move(view);
    if (phase_ == Phase::Idle)
        writePending(lock);
}

void FollowStream::end(grpc::Status const &status)
{
    {
        std::lock_guard const guard(mutex_);
        if (phase_ == Phase::Ended)
            return;
        phase_ = Phase::Ended;
    }
    Finish(status);
}

void FollowStream::OnWriteDone(bool written)
{
    if (!written) {
        end(grpc::Status::CANCELLED);
        return;
    }
    std::unique_lock lock(mutex_);
    if (phase_ == Phase::Ended)
        return;
    phase_ = Phase::Idle;
    if (pendingView_)
        writePending(lock);
}

void FollowStream::OnCancel()
{
    end(grpc::Status::CANCELLED);
}

void FollowStream::OnDone()
{
    onDone_(this);
    delete this;
}

void FollowStream::fillMessage(PublishedView const &published)
{
    auto const &view = *published.view;
    message_.Clear();
    message_.set_generation(view.rules->generation.value());
    if (sentGeneration_ != view.rules->generation)
        message_.set_rules_text(*published.rulesText);
    sentGeneration_ = view.rules->generation;
    for (auto const &server : view.servers)
        encode(Fleet::ServerRecord{.server = server}, *message_.add_servers());
    for (auto const &instance : view.instances)
        encode(toRecord(instance), *message_.add_instances());
    message_.set_jobs_mark(view.jobsMark);
}

void FollowStream::writePending(std::unique_lock<std::mutex> &lock)
{
    fillMessage(*pendingView_);
    pendingView_.reset();
    phase_ = Phase::Writing;
    // StartWrite() may invoke OnWriteDone() on this thread, which takes the lock.
    lock.unlock();
    StartWrite(&message_);
}

} // namespace Anvilyard::Peer
