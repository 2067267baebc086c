#include "LibJobs/FailureRecord.h"

#include "LibJobs/JobCodec.h"
#include "LibJobs/JobsError.h"

#include <boost/json.hpp>

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

FailureCounts FailureRecord::others(TenureId const &tenure) const
{
    FailureCounts sums;
    for (auto const &[id, counts] : byTenure_) {
        if (id == tenure)
            continue;
        for (auto const &[item, count] : counts)
            sums[item] += count;
    }
    return sums;
}

void recordFailures(Platform::ObjectStore &store,
                    JobId const &job,
                    TenureId const &tenure,
                    FailureCounts const &counts,
                    std::function<void(Result<FailureCounts>)> reply)
{
    auto const name = jobObject(job);
    store.get(CallClass::Commit, failureKind, name, [&store, name, tenure, counts, reply = std::move(reply)](Result<Object> stored) {
        bool const isNew = !stored && stored.error().code == PlatformError::NotFound;
        if (!stored && !isNew)
            return reply(tl::unexpected(stored.error()));
        auto record = isNew ? Result<FailureRecord>() : FailureRecord::decode(stored->spec);
        if (!record)
            return reply(tl::unexpected(record.error()));
        record->set(tenure, counts);
        auto const onWritten = [others = record->others(tenure), reply](Result<Object> const &written) {
            if (!written)
                return reply(tl::unexpected(written.error()));
            reply(others);
        };
        if (isNew)
            return store.create(CallClass::Commit, failureKind, name, record->encode(), onWritten);
        stored->spec = record->encode();
        store.update(CallClass::Commit, failureKind, std::move(*stored), onWritten);
    });
}

} // namespace Anvilyard::Jobs
