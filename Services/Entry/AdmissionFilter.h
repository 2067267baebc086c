#pragma once

#include "LibRouting/AdmissionQueue.h"
#include "Services/Entry/Filter.h"
#include "Services/Entry/ThreadContext.h"

#include <map>
#include <memory>

namespace Anvilyard::Entry {

/// Passes requests on while their pool has free capacity. Other requests wait in a short queue ordered by deadline, or are refused.
class AdmissionFilter final : public Filter
{
public:
    AdmissionFilter(ThreadContext &context, Routing::AdmissionQueueOptions options);
    ~AdmissionFilter() override;

    void handle(OnlineRequestPointer request, Next const &next) override;

private:
    struct Waiting {
        OnlineRequestPointer request;
        Next next;
    };

    void enqueue(OnlineRequestPointer request, Next const &next);
    void scheduleDrain();
    void drain();
    void drainPool(PoolName const &pool, Routing::AdmissionQueue &queue);
    void refuseExpired(Routing::AdmissionQueue &queue, Instant now);
    void refuse(Routing::Ticket ticket);
    void scheduleTick();
    [[nodiscard]] Waiting take(Routing::Ticket ticket);

    ThreadContext &context_;
    Routing::AdmissionQueueOptions options_;
    std::map<PoolName, Routing::AdmissionQueue> queues_;
    std::map<Routing::Ticket, Waiting> waiting_;
    std::uint64_t lastTicket_ = 0;
    enum class DrainState {
        Idle,
        Scheduled,
    } drainState_ = DrainState::Idle;
    std::unique_ptr<Http::Timer> tick_;
    /// Posted tasks hold a weak pointer to this and do nothing once the filter is destroyed.
    std::shared_ptr<AdmissionFilter *> self_;
};

} // namespace Anvilyard::Entry
