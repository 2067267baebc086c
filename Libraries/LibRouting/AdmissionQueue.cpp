#include "LibRouting/AdmissionQueue.h"

#include <algorithm>

namespace Anvilyard::Routing {

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : options_(options)
{
}

std::optional<Ticket> AdmissionQueue::enqueue(Ticket ticket, CustomerId const &customer, Instant deadline, Instant now)
{
    if (options_.maxLength == 0)
        return ticket;
    Waiting const entry{.expiresAt = std::min(deadline, now + options_.maxWait), .ticket = ticket};
    auto const [position, isNew] = customers_.try_emplace(customer);
    // A new customer has had no turn, so it must not get ahead of those that wait already.
    if (isNew)
        position->second.lastTurn = turn_;
    auto &waiting = position->second.waiting;
    waiting.insert(std::upper_bound(waiting.begin(), waiting.end(), entry), entry);
    ++size_;
    return size_ > options_.maxLength ? std::optional(evictOne()) : std::nullopt;
}

Ticket AdmissionQueue::evictOne()
{
    auto const largest = std::max_element(customers_.begin(), customers_.end(), [](auto const &left, auto const &right) {
        return left.second.waiting.size() < right.second.waiting.size();
    });
    auto &waiting = largest->second.waiting;
    auto const ticket = waiting.back().ticket;
    waiting.pop_back();
    --size_;
    if (waiting.empty())
        customers_.erase(largest);
    return ticket;
}

std::optional<Ticket> AdmissionQueue::takeNext()
{
    if (customers_.empty())
        return std::nullopt;
    auto const next = std::min_element(customers_.begin(), customers_.end(), [](auto const &left, auto const &right) {
        auto const &[leftId, leftCustomer] = left;
        auto const &[rightId, rightCustomer] = right;
        return leftCustomer.lastTurn != rightCustomer.lastTurn ? leftCustomer.lastTurn < rightCustomer.lastTurn
                                                               : leftCustomer.waiting.front() < rightCustomer.waiting.front();
    });
    auto &customer = next->second;
    auto const ticket = customer.waiting.front().ticket;
    customer.waiting.erase(customer.waiting.begin());
    customer.lastTurn = ++turn_;
    --size_;
    if (customer.waiting.empty())
        customers_.erase(next);
    return ticket;
}

std::vector<Ticket> AdmissionQueue::takeExpired(Instant now)
{
    std::vector<Ticket> expired;
    for (auto &[id, customer] : customers_) {
        auto const firstUnexpired =
            std::find_if(customer.waiting.begin(), customer.waiting.end(), [&](auto const &entry) { return entry.expiresAt > now; });
        for (auto entry = customer.waiting.begin(); entry != firstUnexpired; ++entry)
            expired.push_back(entry->ticket);
        customer.waiting.erase(customer.waiting.begin(), firstUnexpired);
    }
    std::erase_if(customers_, [](auto const &entry) { return entry.second.waiting.empty(); });
    size_ -= expired.size();
    return expired;
}

void AdmissionQueue::remove(Ticket ticket)
{
    for (auto &[id, customer] : customers_)
        size_ -= std::erase_if(customer.waiting, [&](auto const &entry) { return entry.ticket == ticket; });
    std::erase_if(customers_, [](auto const &entry) { return entry.second.waiting.empty(); });
}

std::size_t AdmissionQueue::size() const
{
    return size_;
}

std::optional<Instant> AdmissionQueue::nextExpiry() const
{
    std::optional<Instant> next;
    for (auto const &[id, customer] : customers_) {
        if (auto const expiresAt = customer.waiting.front().expiresAt; !next || expiresAt < *next)
            next = expiresAt;
    }
    return next;
}

} // namespace Anvilyard::Routing
