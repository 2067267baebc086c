#include "LibHttp/DeadlineSweep.h"

namespace Anvilyard::Http {

DeadlineSweep::DeadlineSweep(boost::asio::io_context &io)
    : timer_(io)
{
}

void DeadlineSweep::add(std::shared_ptr<DeadlineHolder> const &holder)
{
    holders_.emplace(holder.get(), holder);
    schedule();
}

void DeadlineSweep::remove(DeadlineHolder *holder)
{
    holders_.erase(holder);
}

std::vector<std::shared_ptr<DeadlineHolder>> DeadlineSweep::holders() const
{
    std::vector<std::shared_ptr<DeadlineHolder>> alive;
    for (auto const &[address, weak] : holders_) {
        if (auto holder = weak.lock())
            alive.push_back(std::move(holder));
    }
    return alive;
}

void DeadlineSweep::close()
{
    holders_.clear();
    timer_.cancel();
}

void DeadlineSweep::schedule()
{
    if (scheduled_ || holders_.empty())
        return;
    scheduled_ = true;
    timer_.expires_after(Interval);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        auto const self = weak.lock();
        if (!self)
            return;
        self->scheduled_ = false;
        if (!error)
            self->sweep();
    });
}

void DeadlineSweep::sweep()
{
    auto const now = readLocalClock();
    std::vector<std::shared_ptr<DeadlineHolder>> overdue;
    for (auto entry = holders_.begin(); entry != holders_.end();) {
        auto holder = entry->second.lock();
        if (!holder) {
            entry = holders_.erase(entry);
            continue;
        }
        if (holder->deadline() <= now)
            overdue.push_back(std::move(holder));
        ++entry;
    }
    // First, since a call may throw, and the other deadlines still apply then.
    schedule();
    for (auto const &holder : overdue)
        holder->onDeadline();
}

} // namespace Anvilyard::Http
