#pragma once

#include "LibCore/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Anvilyard::Http {

/// An object whose deadline is checked by a DeadlineSweep.
class DeadlineHolder
{
public:
    virtual ~DeadlineHolder() = default;
    [[nodiscard]] virtual Instant deadline() const = 0;
    /// Called once the deadline has passed. May remove the object from the sweep.
    virtual void onDeadline() = 0;
};

/// Checks the deadlines of many connections with one timer, so that reads and writes need no timers of their own.
class DeadlineSweep : public std::enable_shared_from_this<DeadlineSweep>
{
public:
    static constexpr Duration Interval = 50ms;

    explicit DeadlineSweep(boost::asio::io_context &io);

    void add(std::shared_ptr<DeadlineHolder> const &holder);
    void remove(DeadlineHolder *holder);
    [[nodiscard]] std::vector<std::shared_ptr<DeadlineHolder>> holders() const;
    /// Removes all holders and stops the timer.
    void close();

private:
    void schedule();
    void sweep();

    boost::asio::steady_timer timer_;
    std::unordered_map<DeadlineHolder *, std::weak_ptr<DeadlineHolder>> holders_;
    bool scheduled_ = false;
};

} // namespace Anvilyard::Http
