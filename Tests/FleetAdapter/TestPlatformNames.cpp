#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

/// Guards against use of the platform's names outside platform/ in code that ships.
TEST(PlatformNamesTest, PlatformNamesStayInTheAdapter)
{
    std::filesystem::path const root = ANVILYARD_SOURCE_FOLDER;
    std::vector<std::string> const names = {
        "Attempt-Id",         "Deadline-Ms",      "Token-Usage",   "Prompt-Prefix", "Expect-Instance", "Not-Executed",
        "Response-Signature", "warmupLeft",       "dead_letter",   "/api/lots",     "/api/items",      "/api/objects",
        "/api/readyz",        "nextToken",        "allowStale",    "pathPrefix\"",  "sloMs",           "queueTtlS",
        "completionTargetMs", "Anvilyard-Tenant", "Instance-Load", "apiKeys",       "ratePerS"};
    std::size_t files = 0;
    for (auto const *const folder : {"Libraries", "Services", "Utilities"}) {
        for (auto const &entry : std::filesystem::recursive_directory_iterator(root / folder)) {
            auto const extension = entry.path().extension();
            if (extension != ".cpp" && extension != ".h" && extension != ".inc")
                continue;
            ++files;
            std::ifstream stream(entry.path());
            std::ostringstream text;
            text << stream.rdbuf();
            for (auto const &name : names)
                EXPECT_EQ(text.str().find(name), std::string::npos) << entry.path() << " contains " << name;
        }
    }
    EXPECT_GT(files, 300U);
}
