#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace Anvilyard {

/// Passes immutable snapshots from the control thread to traffic threads, which read the newest one.
/// The lock is held only while a pointer is copied, so that a reader never waits for a decision.
template<typename Value>
class SnapshotCell
{
public:
    explicit SnapshotCell(std::shared_ptr<Value const> initial)
        : current_(std::move(initial))
    {
    }

    [[nodiscard]] std::shared_ptr<Value const> read() const
    {
        std::lock_guard const guard(mutex_);
        return current_;
    }

    void publish(std::shared_ptr<Value const> next)
    {
        std::lock_guard const guard(mutex_);
        current_.swap(next);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<Value const> current_;
};

} // namespace Anvilyard
