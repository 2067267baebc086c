#include "LibJobs/TokenAdmission.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Jobs;

namespace {

constexpr Instant Start{1h};

bool isNotCounted(JobId const &)
{
    return false;
}

} // namespace

/// Guards against entries that use the same room at once, and against a repeated call that counts twice.
TEST(TokenAdmissionTest, AdmittedJobsCountUntilTheirOwnersCountThem)
{
    TokenAdmission admission;
    TokenAdmission::Request request{.job = JobId("a"), .tokens = 60, .maxTokens = 100};
    EXPECT_TRUE(admission.tryAdmit(request, 0, isNotCounted, Start));
    EXPECT_TRUE(admission.tryAdmit(request, 0, isNotCounted, Start));
    request.job = JobId("b");
    EXPECT_FALSE(admission.tryAdmit(request, 0, isNotCounted, Start));
    EXPECT_TRUE(admission.tryAdmit(
        request, 0, [](JobId const &job) { return job == JobId("a"); }, Start));
    request.job = JobId("c");
    EXPECT_FALSE(admission.tryAdmit(request, 0, isNotCounted, Start + 2s));
    EXPECT_TRUE(admission.tryAdmit(request, 0, isNotCounted, Start + 3s));
    request.job = JobId("d");
    EXPECT_FALSE(admission.tryAdmit(
        request, 41, [](JobId const &) { return true; }, Start + 3s));
}

/// One customer fills its limit. Guards against refusing the others for it.
TEST(TokenAdmissionTest, AdmittedJobsOfOtherCustomersDoNotCount)
{
    TokenAdmission admission;
    TokenAdmission::Request request{.job = JobId("a"), .customer = CustomerId("north"), .tokens = 60, .maxTokens = 100};
    EXPECT_TRUE(admission.tryAdmit(request, 0, isNotCounted, Start));
    request.job = JobId("b");
    EXPECT_FALSE(admission.tryAdmit(request, 0, isNotCounted, Start));
    request.customer = CustomerId("south");
    EXPECT_TRUE(admission.tryAdmit(request, 0, isNotCounted, Start));
    request.job = JobId("c");
    request.customer.reset();
    EXPECT_FALSE(admission.tryAdmit(request, 0, isNotCounted, Start)) << "it belongs to either";
}
