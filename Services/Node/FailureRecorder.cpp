#include "Services/Node/FailureRecorder.h"

#include "LibObserve/Events.h"

namespace Anvilyard::Node {

namespace {

constexpr int LastRecordAttempts = 10;
constexpr Duration RetryDelay = 200ms;

Platform::Kind const &kindOf(Jobs::FailureCommit const &commit)
{
    return commit.subject == Jobs::FailureCommit::Subject::Failures ? Jobs::failureKind : Jobs::unansweredKind;
}

} // namespace

FailureRecorder::FailureRecorder(NodeContext &context)
    : context_(context)
{
}

void FailureRecorder::call(Jobs::FailureCommit const &commit, std::function<void(Result<Jobs::FailureCounts> const &)> done)
{
    ++pendingCalls_;
    Jobs::recordFailures(
        context_.store,
        kindOf(commit),
        commit.job,
        commit.tenure,
        commit.counts,
        [this, job = commit.job, done = std::move(done)](Result<Jobs::FailureCounts> const &others) {
            --pendingCalls_;
            if (!others)
                Observe::log(Observe::Events::NodeFailuresNotRecorded, {{"job", job.value()}, {"error", others.error().toString()}});
            done(others);
        });
}

void FailureRecorder::record(Jobs::FailureCommit const &commit, std::function<void(Result<Jobs::FailureCounts> const &)> done)
{
    call(commit, [job = commit.job, done = std::move(done)](Result<Jobs::FailureCounts> const &others) {
        std::uint32_t otherFailures = 0;
        for (auto const &[index, count] : others.value_or(Jobs::FailureCounts()))
            otherFailures += count;
        if (otherFailures > 0)
            Observe::log(Observe::Events::NodeFailuresOfOthersFound, {{"job", job.value()}, {"failures", std::to_string(otherFailures)}});
        done(others);
    });
}

void FailureRecorder::recordLast(Jobs::FailureCommit const &commit)
{
    recordLast(commit, LastRecordAttempts);
}

void FailureRecorder::recordLast(Jobs::FailureCommit const &commit, int attempts)
{
    call(commit, [this, commit, attempts](Result<Jobs::FailureCounts> const &others) {
        if (others || attempts <= 1)
            return;
        auto const number = ++lastRetry_;
        retryTimers_[number] = context_.loop.at(readLocalClock() + RetryDelay, [this, commit, attempts, number] {
            auto const timer = retryTimers_.extract(number);
            recordLast(commit, attempts - 1);
        });
    });
}

bool FailureRecorder::isIdle() const
{
    return pendingCalls_ == 0;
}

} // namespace Anvilyard::Node
