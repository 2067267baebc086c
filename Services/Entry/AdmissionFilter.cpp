#include "Services/Entry/AdmissionFilter.h"

#include "Services/Entry/Refusals.h"

namespace Anvilyard::Entry {

namespace {

/// Capacity can become free without the end of a request, for example by a load report, so queues are also checked periodically.
constexpr Duration TickInterval = 50ms;

} // namespace

AdmissionFilter::AdmissionFilter(ThreadContext &context, Routing::AdmissionQueueOptions options)
    : context_(context)
    , options_(options)
    , self_(std::make_shared<AdmissionFilter *>(this))
{
    context_.onRequestFinished = [this] {
        if (!waiting_.empty())
            scheduleDrain();
    };
}

AdmissionFilter::~AdmissionFilter()
{
    context_.onRequestFinished = nullptr;
    // Destroying a request may end an InFlightGuard, which must find the filter in a consistent state.
    auto const waiting = std::move(waiting_);
    waiting_.clear();
}

void AdmissionFilter::handle(OnlineRequestPointer request, Next const &next)
{
    auto const now = readLocalClock();
    auto *chooser = context_.choosers.find(request->route.pool);
    auto const room = chooser ? chooser->room(request->engineModel, now) : Routing::Room::NoServer;
    if (room == Routing::Room::NoServer)
        return request->refuse(Refusals::noServer(Http::RunState::NotRun, Refusals::jitteredDelay(1s, context_.random)));
    // Requests that are already waiting go first.
    auto const queue = queues_.find(request->route.pool);
    bool const isEmpty = queue == queues_.end() || queue->second.size() == 0;
    if (room == Routing::Room::Free && isEmpty)
        return next(std::move(request));
    enqueue(std::move(request), next);
}

void AdmissionFilter::enqueue(OnlineRequestPointer request, Next const &next)
{
    Routing::Ticket const ticket(++lastTicket_);
    auto const pool = request->route.pool;
    auto &queue = queues_.try_emplace(pool, options_).first->second;
    request->writer->onCallerGone([weak = std::weak_ptr(self_), pool, ticket] {
        auto const self = weak.lock();
        if (!self)
            return;
        (*self)->queues_.at(pool).remove(ticket);
        (*self)->waiting_.erase(ticket);
    });
    auto const shed = queue.enqueue(ticket, request->customer, request->deadline, readLocalClock());
    waiting_.emplace(ticket, Waiting{std::move(request), next});
    if (shed)
        refuse(*shed);
    scheduleTick();
}

AdmissionFilter::Waiting AdmissionFilter::take(Routing::Ticket ticket)
{
    auto node = waiting_.extract(ticket);
    auto waiting = std::move(node.mapped());
    auto const waited = std::chrono::duration<double>(readLocalClock() - waiting.request->arrivedAt);
    context_.metrics.queueSeconds.record(waited.count());
    return waiting;
}

void AdmissionFilter::refuse(Routing::Ticket ticket)
{
    auto const waiting = take(ticket);
    if (readLocalClock() >= waiting.request->deadline)
        return waiting.request->refuse(Refusals::deadlinePassed(Http::RunState::NotRun));
    waiting.request->refuse(Refusals::overloaded(Refusals::jitteredDelay(1s, context_.random)));
}

void AdmissionFilter::refuseExpired(Routing::AdmissionQueue &queue, Instant now)
{
    for (auto const ticket : queue.takeExpired(now))
        refuse(ticket);
}

void AdmissionFilter::scheduleDrain()
{
    if (std::exchange(drainState_, DrainState::Scheduled) == DrainState::Scheduled)
        return;
    context_.loop.post([weak = std::weak_ptr(self_)] {
        if (auto const self = weak.lock())
            (*self)->drain();
    });
}

void AdmissionFilter::drain()
{
    drainState_ = DrainState::Idle;
    for (auto &[pool, queue] : queues_) {
        refuseExpired(queue, readLocalClock());
        drainPool(pool, queue);
    }
    scheduleTick();
}

void AdmissionFilter::drainPool(PoolName const &pool, Routing::AdmissionQueue &queue)
{
    while (queue.size() > 0) {
        auto *chooser = context_.choosers.find(pool);
        // A pool without servers will not get free capacity, so its waiting requests are passed on and the last stage refuses them.
        if (chooser && chooser->room({}, readLocalClock()) == Routing::Room::Full)
            return;
        auto const ticket = queue.takeNext();
        auto waiting = take(*ticket);
        waiting.next(std::move(waiting.request));
    }
}

void AdmissionFilter::scheduleTick()
{
    tick_.reset();
    if (waiting_.empty())
        return;
    auto deadline = readLocalClock() + TickInterval;
    for (auto const &[pool, queue] : queues_) {
        if (auto const expiry = queue.nextExpiry())
            deadline = std::min(deadline, *expiry);
    }
    tick_ = context_.loop.at(deadline, [this] { drain(); });
}

} // namespace Anvilyard::Entry
