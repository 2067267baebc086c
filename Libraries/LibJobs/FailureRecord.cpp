#include "LibJobs/FailureRecord.h"

#include "LibJobs/JobCodec.h"
#include "LibJobs/JobsError.h"

#include <boost/json.hpp>
#include <set>

namespace Anvilyard::Jobs {

namespace json = boost::json;

using Platform::CallClass;
using Platform::Object;
using Platform::PlatformError;

Result<FailureRecord> FailureRecord::decode(std::string_view spec)
try {
    auto const value = json::parse(spec);
    FailureRecord record;
    for (auto const &[tenure, counts] : value.as_object().at("tenures").as_object()) {
        auto &decoded = record.byTenure_[TenureId(std::string(tenure))];
        for (auto const &count : counts.as_array())
            decoded[count.at(0).to_number<std::size_t>()] = count.at(1).to_number<std::uint32_t>();
    }
    return record;
} catch (std::exception const &exception) {
    return failure(JobsError::BadObject, std::string("failure record: ") + exception.what());
}

std::string FailureRecord::encode() const
{
    json::object tenures;
    for (auto const &[tenure, counts] : byTenure_) {
        json::array encoded;
        for (auto const &[item, count] : counts)
            encoded.push_back(json::array{item, count});
        tenures.emplace(tenure.value(), std::move(encoded));
    }
    return json::serialize(json::object{{"tenures", std::move(tenures)}});
}

void FailureRecord::set(TenureId const &tenure, FailureCounts counts)
{
    byTenure_.insert_or_assign(tenure, std::move(counts));
}

bool FailureRecord::has(TenureId const &tenure, FailureCounts const &counts) const
{
    auto const found = byTenure_.find(tenure);
    return found != byTenure_.end() && found->second == counts;
}

FailureCounts FailureRecord::others(TenureId const &tenure) const
{
    FailureCounts sums;
    std::set<std::size_t> cleared;
    for (auto const &[id, counts] : byTenure_) {
        if (id == tenure)
            continue;
        for (auto const &[item, count] : counts) {
            sums[item] += count;
            if (count == 0)
                cleared.insert(item);
        }
    }
    for (auto const item : cleared)
        sums[item] = 0;
    return sums;
}

namespace {

/// Replies with the record of a job, which is empty if there is none.
void loadRecord(Platform::ObjectStore &store,
                Platform::Kind const &kind,
                JobId const &job,
                std::function<void(Result<FailureRecord>)> reply)
{
    store.get(CallClass::Read, kind, jobObject(job), [reply = std::move(reply)](Result<Object> stored) {
        if (stored)
            return reply(FailureRecord::decode(stored->spec));
        if (stored.error().code == PlatformError::NotFound)
            return reply(FailureRecord());
        reply(tl::unexpected(stored.error()));
    });
}

} // namespace

void loadCounts(Platform::ObjectStore &store, JobId const &job, std::function<void(Result<RecordedCounts>)> reply)
{
    loadRecord(store, failureKind, job, [&store, job, reply = std::move(reply)](Result<FailureRecord> failures) {
        if (!failures)
            return reply(tl::unexpected(failures.error()));
        loadRecord(store, unansweredKind, job, [reply, counts = failures->others(TenureId())](Result<FailureRecord> unanswered) {
            if (!unanswered)
                return reply(tl::unexpected(unanswered.error()));
            reply(RecordedCounts{.failures = counts, .unanswered = unanswered->others(TenureId())});
        });
    });
}

void recordFailures(Platform::ObjectStore &store,
                    Platform::Kind const &kind,
                    JobId const &job,
                    TenureId const &tenure,
                    FailureCounts const &counts,
                    std::function<void(Result<FailureCounts>)> reply)
{
    auto const name = jobObject(job);
    store.get(CallClass::Commit, kind, name, [&store, kind, name, tenure, counts, reply = std::move(reply)](Result<Object> stored) {
        bool const isNew = !stored && stored.error().code == PlatformError::NotFound;
        if (!stored && !isNew)
            return reply(tl::unexpected(stored.error()));
        auto record = isNew ? Result<FailureRecord>() : FailureRecord::decode(stored->spec);
        if (!record)
            return reply(tl::unexpected(record.error()));
        if (record->has(tenure, counts))
            return reply(record->others(tenure));
        record->set(tenure, counts);
        auto const onWritten = [others = record->others(tenure), reply](Result<Object> const &written) {
            if (!written)
                return reply(tl::unexpected(written.error()));
            reply(others);
        };
        if (isNew)
            return store.create(CallClass::Commit, kind, name, record->encode(), onWritten);
        stored->spec = record->encode();
        store.update(CallClass::Commit, kind, std::move(*stored), onWritten);
    });
}

} // namespace Anvilyard::Jobs
