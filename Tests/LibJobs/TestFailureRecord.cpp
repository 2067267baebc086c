#include "LibJobs/FailureRecord.h"
#include "LibJobs/JobCodec.h"
#include "LibJobs/JobsError.h"
#include "Tests/Fakes/FakeObjectStore.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Jobs;
using namespace Anvilyard::Tests;

namespace {

JobId const job("j");

class FailureRecordTest : public ::testing::Test
{
protected:
    Result<FailureCounts> record(FakeObjectStore &store, std::string const &tenure, FailureCounts const &counts)
    {
        std::optional<Result<FailureCounts>> answer;
        recordFailures(
            store, failureKind, job, TenureId(tenure), counts, [&](Result<FailureCounts> others) { answer = std::move(others); });
        store.runUntilIdle();
        return answer.value();
    }

    FailureRecord stored()
    {
        return *FailureRecord::decode(table_.get(failureKind, jobObject(job))->spec);
    }

    ObjectTable table_;
    FaultPlan faults_;
    FakeObjectStore store_{{.table = table_, .faults = faults_}};
};

} // namespace

TEST_F(FailureRecordTest, CountsOfOtherTenuresAreSummed)
{
    EXPECT_EQ(record(store_, "a", {{0, 2}, {3, 1}}).value(), FailureCounts());
    EXPECT_EQ(record(store_, "b", {{0, 1}}).value(), (FailureCounts{{0, 2}, {3, 1}}));
    EXPECT_EQ(record(store_, "c", {{3, 1}}).value(), (FailureCounts{{0, 3}, {3, 1}}));
}

/// Guards against an item that is given up too early because a write counted twice: its response was lost, and it was repeated.
TEST_F(FailureRecordTest, ARepeatedWriteCountsOnce)
{
    EXPECT_TRUE(record(store_, "a", {{0, 1}}));
    EXPECT_TRUE(record(store_, "a", {{0, 1}}));
    EXPECT_TRUE(record(store_, "a", {{0, 2}}));
    EXPECT_EQ(stored().others(TenureId("b")), (FailureCounts{{0, 2}}));
}

/// Guards against a record that is never confirmed while the store loses its responses.
TEST_F(FailureRecordTest, AWriteWhoseResponseWasLostIsFoundByReading)
{
    faults_.setFaults({.loseAnswerShare = 1});
    EXPECT_FALSE(record(store_, "a", {{0, 1}}));
    EXPECT_TRUE(record(store_, "a", {{0, 1}}));
}

/// Guards against sends that count although the item has shown to another owner that it does not fail each time.
TEST_F(FailureRecordTest, ACountOfZeroClearsAnItem)
{
    EXPECT_TRUE(record(store_, "a", {{0, 2}, {1, 1}}));
    EXPECT_TRUE(record(store_, "b", {{0, 0}}));
    EXPECT_EQ(record(store_, "c", {{0, 1}}).value(), (FailureCounts{{0, 0}, {1, 1}}));
}

/// What all tenures recorded is read before the first item of a job is sent.
TEST_F(FailureRecordTest, CountsOfAllTenuresAreRead)
{
    auto const load = [&] {
        std::optional<Result<RecordedCounts>> counts;
        loadCounts(store_, job, [&](Result<RecordedCounts> loaded) { counts = std::move(loaded); });
        store_.runUntilIdle();
        return counts.value();
    };
    ASSERT_TRUE(load());
    EXPECT_TRUE(load()->failures.empty());
    EXPECT_TRUE(record(store_, "a", {{0, 2}}));
    EXPECT_TRUE(record(store_, "b", {{0, 1}}));
    EXPECT_EQ(load()->failures, (FailureCounts{{0, 3}}));
    EXPECT_TRUE(load()->unanswered.empty());
}

/// Two runners may both consider themselves the owner. Guards against counts of one that the other overwrites.
TEST_F(FailureRecordTest, WritesAtTheSameMomentLoseNothing)
{
    FakeObjectStore other({.table = table_, .faults = faults_});
    std::optional<Result<FailureCounts>> first;
    std::optional<Result<FailureCounts>> second;
    recordFailures(store_, failureKind, job, TenureId("a"), {{0, 1}}, [&](Result<FailureCounts> others) { first = std::move(others); });
    recordFailures(other, failureKind, job, TenureId("b"), {{0, 1}}, [&](Result<FailureCounts> others) { second = std::move(others); });
    for (bool isBusy = true; isBusy;) {
        isBusy = store_.deliverNext();
        isBusy = other.deliverNext() || isBusy;
    }
    EXPECT_NE(first->has_value(), second->has_value()) << "both have found no record, and one of them has created it";
    EXPECT_TRUE(first->has_value() ? record(other, "b", {{0, 1}}) : record(store_, "a", {{0, 1}}));
    EXPECT_EQ(stored().others(TenureId("c")), (FailureCounts{{0, 2}}));
}

TEST_F(FailureRecordTest, ARecordThatCannotBeReadIsAnError)
{
    for (auto const *spec : {"", "[]", "{}", R"({"tenures":[]})", R"({"tenures":{"a":[1]}})", R"({"tenures":{"a":[[0,-1]]}})"})
        EXPECT_EQ(FailureRecord::decode(spec).error().code, JobsError::BadObject) << spec;
}
