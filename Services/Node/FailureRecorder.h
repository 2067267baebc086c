#pragma once

#include "LibJobs/JobTracker.h"
#include "Services/Node/NodeContext.h"

#include <map>
#include <memory>

namespace Anvilyard::Node {

/// Stores the counts of failures and of unanswered sends of items, so that the next owner of their job counts them.
class FailureRecorder
{
public:
    explicit FailureRecorder(NodeContext &context);
    FailureRecorder(FailureRecorder const &) = delete;
    FailureRecorder &operator=(FailureRecorder const &) = delete;

    /// `done` gets the counts of other owners, or the store's error.
    void record(Jobs::FailureCommit const &commit, std::function<void(Result<Jobs::FailureCounts> const &)> done);
    /// Records what is left of a job that was handed over. Tries several times while the store fails.
    void recordLast(Jobs::FailureCommit const &commit);
    /// Whether no call of the store is in flight.
    [[nodiscard]] bool isIdle() const;

private:
    void recordLast(Jobs::FailureCommit const &commit, int attempts);
    void call(Jobs::FailureCommit const &commit, std::function<void(Result<Jobs::FailureCounts> const &)> done);

    NodeContext &context_;
    std::size_t pendingCalls_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Http::Timer>> retryTimers_;
    std::uint64_t lastRetry_ = 0;
};

} // namespace Anvilyard::Node
