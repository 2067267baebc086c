#include "LibJobs/Base64.h"
#include "LibJobs/JobCodec.h"
#include "LibJobs/JobsError.h"
#include "LibJobs/ResultChain.h"
#include "Tests/Fakes/FakeObjectStore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Jobs;

namespace {

JobRecord jobOf(std::size_t items, std::size_t bodyBytes)
{
    JobRecord job{.id = JobId("j"), .host = "h.example", .acceptedAt = WallInstant(1234567ms)};
    for (std::size_t index = 0; index < items; ++index) {
        job.items.push_back({
            .id = ItemId("i" + std::to_string(index)),
            .target = "/x?y=1",
            .headers = {{"A", "1"}, {"A", "2"}},
            .body = std::string(bodyBytes, static_cast<char>(index)),
            .tokens = index,
        });
    }
    return job;
}

} // namespace

RC_GTEST_PROP(Base64Property, EncodingRoundTrips, (std::string const &bytes))
{
    auto const decoded = decodeBase64(encodeBase64(bytes));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == bytes);
}

TEST(Base64Test, MatchesTheVectorsOfRfc4648)
{
    std::pair<char const *, char const *> const vectors[] = {
        {"", ""}, {"f", "Zg=="}, {"fo", "Zm8="}, {"foo", "Zm9v"}, {"foob", "Zm9vYg=="}, {"fooba", "Zm9vYmE="}, {"foobar", "Zm9vYmFy"}};
    for (auto const &[bytes, text] : vectors) {
        EXPECT_EQ(encodeBase64(bytes), text);
        EXPECT_EQ(decodeBase64(text).value(), bytes);
    }
}

TEST(Base64Test, InvalidTextIsRejected)
{
    for (auto const *const text : {"Z", "Zm9", "Zm9v=", "====", "Zm=v", "Zm 9", "Zm9\xff"})
        EXPECT_EQ(decodeBase64(text).error().code, JobsError::BadBase64) << text;
}

TEST(JobCodecTest, ASmallJobIsOneObject)
{
    auto const job = jobOf(3, 10);
    auto const stored = encodeJob(job);
    EXPECT_TRUE(stored.parts.empty());
    auto const head = decodeJob(job.id, stored.spec);
    ASSERT_TRUE(head) << head.error().toString();
    EXPECT_EQ(head->record.host, job.host);
    EXPECT_EQ(head->record.acceptedAt, job.acceptedAt);
    ASSERT_EQ(head->record.items.size(), 3U);
    EXPECT_EQ(head->record.items[2].body, job.items[2].body);
    EXPECT_EQ(head->record.items[2].headers.fields().size(), 2U);
    EXPECT_EQ(head->record.items[2].target, "/x?y=1");
}

/// Guards against putting all items into one object regardless of their size.
/// Earlier builds store no customer and ignore it.
TEST(JobCodecTest, TheCustomerOfAJobIsOptional)
{
    auto job = jobOf(1, 10);
    EXPECT_EQ(encodeJob(job).spec.find("customer"), std::string::npos);
    EXPECT_EQ(decodeJob(job.id, encodeJob(job).spec)->record.customer, std::nullopt);
    job.customer = CustomerId("north");
    EXPECT_EQ(decodeJob(job.id, encodeJob(job).spec)->record.customer, CustomerId("north"));
}

TEST(JobCodecTest, ALargeJobIsSeveralObjectsEachBelowThePlatformsLimit)
{
    auto const job = jobOf(24, 290'000);
    auto const stored = encodeJob(job);
    EXPECT_GT(stored.parts.size(), 5U);
    std::size_t items = decodeJob(job.id, stored.spec)->record.items.size();
    EXPECT_LT(stored.spec.size(), 1024U * 1024);
    for (auto const &part : stored.parts) {
        EXPECT_LT(part.size(), 1024U * 1024);
        items += decodePart(part)->size();
    }
    EXPECT_EQ(items, 24U);
}

TEST(JobCodecTest, MalformedObjectsAreRejected)
{
    for (auto const *const text : {"", "null", "[]", "{}", R"({"host":1})", R"({"host":"h","acceptedAt":0,"parts":0,"items":[{}]})"}) {
        EXPECT_EQ(decodeJob(JobId("j"), text).error().code, JobsError::BadObject) << text;
        EXPECT_EQ(decodePart(text).error().code, JobsError::BadObject) << text;
        EXPECT_EQ(decodeSegment(0, text).error().code, JobsError::BadObject) << text;
    }
    EXPECT_EQ(decodeSegment(0, R"({"outcomes":[]})").error().code, JobsError::BadObject) << "a reader cannot advance past an empty segment";
}

TEST(JobCodecTest, OnlyAnEndedStatusEndsAJob)
{
    EXPECT_TRUE(isEnded(encodeEnded()));
    for (auto const *const text : {"", "null", "{}", R"({"ended":false})", R"({"ended":"yes"})", "["})
        EXPECT_FALSE(isEnded(text)) << text;
}

class ResultChainTest : public ::testing::Test
{
protected:
    void create(Platform::Kind const &kind, Platform::ObjectName const &name, std::string spec)
    {
        ASSERT_TRUE(table_.create(kind, name, std::move(spec)));
    }

    Result<LoadedJob> load(LoadExtent extent = LoadExtent::Full)
    {
        std::optional<Result<LoadedJob>> loaded;
        loadJob(store_, JobId("j"), extent, [&](Result<LoadedJob> job) { loaded = std::move(job); });
        store_.runUntilIdle();
        return std::move(loaded.value());
    }

    Tests::ObjectTable table_;
    Tests::FaultPlan faults_;
    Tests::FakeObjectStore store_{{.table = table_, .faults = faults_}};
};

TEST_F(ResultChainTest, LoadingIncludesPartsAndSegments)
{
    auto const stored = encodeJob(jobOf(5, 290'000));
    create(jobKind, jobObject(JobId("j")), stored.spec);
    for (std::size_t part = 0; part < stored.parts.size(); ++part)
        create(jobPartKind, partObject(JobId("j"), part), stored.parts[part]);
    create(segmentKind,
           segmentObject(JobId("j"), 0),
           encodeSegment({.outcomes = {{.id = ItemId("i4"), .output = "a\nb"}, {.id = ItemId("i1")}}}));
    create(segmentKind, segmentObject(JobId("j"), 2), encodeSegment({.outcomes = {{.id = ItemId("i0"), .state = OutcomeState::GivenUp}}}));
    auto const job = load();
    ASSERT_TRUE(job) << job.error().toString();
    EXPECT_EQ(job->record.items.size(), 5U);
    ASSERT_EQ(job->segments.size(), 2U);
    EXPECT_EQ(job->segments[0].outcomes[0].output, "a\nb");
    EXPECT_EQ(job->segments[1].first, 2U);
    EXPECT_EQ(job->segments[1].outcomes[0].state, OutcomeState::GivenUp);
    EXPECT_TRUE(load(LoadExtent::JobOnly)->segments.empty());
}

/// If an error of the store were treated as a missing job, the caller would receive 404.
TEST_F(ResultChainTest, OnlyNotFoundFromTheStoreMakesAJobMissing)
{
    EXPECT_EQ(load().error().code, JobsError::JobNotFound);
    faults_.setFaults({.outage = Tests::OutageMode::Refuse});
    EXPECT_EQ(load().error().code, Platform::PlatformError::Unavailable);
}

TEST_F(ResultChainTest, AMissingPartFailsTheLoad)
{
    create(jobKind, jobObject(JobId("j")), encodeJob(jobOf(5, 290'000)).spec);
    EXPECT_FALSE(load());
}
