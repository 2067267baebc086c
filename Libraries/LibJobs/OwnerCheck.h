#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Anvilyard::Jobs {

struct OwnerCheckOptions {
    /// Time from a job's acceptance, or a change of its owner, to the first check. Views of the owner may differ for this long.
    Duration firstAfter = 5s;
    /// Time between two checks of an owner that holds the job.
    Duration interval = 10s;
    /// Pause after an owner did not confirm that it holds the job.
    Duration retryPause = 2s;
    /// Number of consecutive refusals after which the job is taken.
    std::size_t refusalsToTake = 3;
    /// Time without an answer after which the job is taken. Runners may be cut off from each other while their owners run the items, so
    /// it is longer than the time for which a lost runner counts as an owner.
    Duration unansweredToTake = 30s;
    /// Number of checks that takeDue() returns at once. A runner that starts gets all jobs of the store in one list.
    std::size_t maxDue = 2;
};

/// Answer of an owner to the question whether it holds a job.
enum class OwnerAnswer {
    Holds,
    /// All outcomes are listed, or the job was ended.
    Done,
    NotHeld,
    /// There was no answer.
    None,
};

/// Checks that jobs are held by their owners. The runner that would own a job next checks it, and takes the job if the owner does not hold
/// it, until it does. Without such checks, a wrong view of the runners, or an owner that does not know the job, leaves its items lying.
/// Two runners may run a job at the same time, as the store accepts only one segment for each position. Performs no I/O.
class OwnerCheck
{
public:
    struct Check {
        JobId job;
        InstanceId owner;
    };

    explicit OwnerCheck(OwnerCheckOptions options);

    /// Sets the owner that this runner has to check; `std::nullopt` if it does not have to check the job. Jobs that are done are not
    /// checked again.
    void setOwner(JobId const &job, std::optional<InstanceId> const &owner, Instant now);
    void remove(JobId const &job);
    /// Returns the checks that are due now. Each one has to be followed by onAnswer().
    [[nodiscard]] std::vector<Check> takeDue(Instant now);
    void onAnswer(Check const &check, OwnerAnswer answer, Instant now);
    /// Whether this runner runs the job in place of its owner.
    [[nodiscard]] bool isTaken(JobId const &job) const;

private:
    struct State {
        InstanceId owner;
        Instant checkAt;
        bool isAsking = false;
        bool isTaken = false;
        bool isDone = false;
        std::size_t refusals = 0;
        std::optional<Instant> unansweredSince;
    };

    OwnerCheckOptions options_;
    std::map<JobId, State> states_;
};

} // namespace Anvilyard::Jobs
