#pragma once

#include "LibBatch/JobRecords.h"
#include "LibBatch/StoreCaller.h"

#include <deque>
#include <functional>
#include <memory>

namespace Anvilyard::Batch {

struct HousekeeperOptions {
    std::shared_ptr<StoreCaller> store;
    /// An upload that has not become a file after this time was abandoned, because its caller or its instance failed.
    std::chrono::milliseconds uploadsAbandonedAfter = std::chrono::hours(2);
    /// Maximum number of objects of each kind that one round examines.
    std::size_t pageSize = 100;
    std::function<CurrentTime()> clock = readClocks;
};

/// Removes incomplete submissions and expired objects. Works on one page at a time with one call in flight, so that its share of
/// the fleet's store calls stays small. One instance runs it at a time. Concurrent rounds of two instances are harmless.
class Housekeeper : public std::enable_shared_from_this<Housekeeper>
{
public:
    explicit Housekeeper(HousekeeperOptions options);

    /// Runs one round. Has no effect while a round is in progress.
    void runRound();
    [[nodiscard]] bool isBusy() const;

private:
    using Next = std::function<void()>;
    using Names = std::deque<Platform::ObjectName>;

    void cleanUploads(Next next);
    void cleanUpload(Platform::Object const &upload, Next next);
    void cleanCancels(Next next);
    void cleanJobs(Next next);
    void cleanJob(JobRecord const &job, Next next);
    void cleanIntents(Next next);
    void cleanFiles(Next next);
    void cleanFile(FileRecord const &file, Next next);
    void removeInputs(UploadId const &upload, std::uint32_t chunk, Next next);
    void removeAll(Platform::Kind const &kind, std::string const &prefix, Next next);
    void removeEach(Platform::Kind const &kind, Names names, Next next);
    void remove(Platform::Kind const &kind, Platform::ObjectName const &name, Next next);
    /// Calls `clean` for each object of a page, then `next`.
    void forEachObject(std::deque<Platform::Object> objects, std::function<void(Platform::Object const &, Next)> clean, Next next);
    void
    listPage(Platform::Kind const &kind, std::string *continueToken, std::function<void(Platform::Object const &, Next)> clean, Next next);

    HousekeeperOptions options_;
    std::string jobsToken_;
    std::string filesToken_;
    std::string intentsToken_;
    bool isBusy_ = false;
};

} // namespace Anvilyard::Batch
