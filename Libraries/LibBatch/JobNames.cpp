#include "LibBatch/JobNames.h"

#include "LibBatch/Sha256.h"

#include <charconv>

namespace Anvilyard::Batch {

namespace {

constexpr std::size_t IdDigits = 32;
constexpr std::size_t CustomerDigits = 16;
constexpr std::string_view OutputSuffix = "-output";
constexpr std::string_view ErrorsSuffix = "-errors";
constexpr std::string_view JobPrefix = "batch-";
constexpr std::string_view FilePrefix = "file-";

std::string paddedIndex(ChunkIndex chunk)
{
    // Padded, so that names sort in the order of the items.
    auto digits = std::to_string(chunk.value());
    return std::string(6 - std::min<std::size_t>(6, digits.size()), '0') + digits;
}

std::string idFor(std::string_view kind, CustomerId const &customer, std::string_view key)
{
    // The length distinguishes "ab" + "c" from "a" + "bc".
    auto const text = std::string(kind) + std::to_string(customer.value().size()) + ":" + customer.value() + ":" + std::string(key);
    return sha256Hex(text).substr(0, IdDigits);
}

} // namespace

std::string customerJobPrefix(CustomerId const &customer)
{
    return std::string(JobPrefix) + idFor("customer", customer, {}).substr(0, CustomerDigits) + "-";
}

JobId jobIdFor(CustomerId const &customer, std::string_view idempotencyKey)
{
    return JobId(customerJobPrefix(customer) + idFor("job", customer, idempotencyKey));
}

FileId fileIdFor(CustomerId const &customer, std::string_view idempotencyKey)
{
    return FileId(std::string(FilePrefix) + idFor("file", customer, idempotencyKey));
}

Platform::ObjectName inputName(UploadId const &upload, ChunkIndex chunk)
{
    return Platform::ObjectName(upload.value() + "." + paddedIndex(chunk));
}

Platform::ObjectName chunkName(JobId const &job, ChunkIndex chunk)
{
    return Platform::ObjectName(chunkPrefix(job) + paddedIndex(chunk));
}

std::string chunkPrefix(JobId const &job)
{
    return job.value() + ".";
}

std::optional<ChunkIndex> chunkIndexOf(JobId const &job, Platform::ObjectName const &name)
{
    auto const prefix = chunkPrefix(job);
    if (!name.value().starts_with(prefix))
        return std::nullopt;
    std::uint32_t index = 0;
    auto const *begin = name.value().data() + prefix.size();
    auto const *end = name.value().data() + name.value().size();
    if (auto const [last, error] = std::from_chars(begin, end, index); error != std::errc() || last != end)
        return std::nullopt;
    return ChunkIndex(index);
}

std::string resultName(JobId const &job, ChunkIndex chunk, std::string_view writer, std::uint32_t part)
{
    return chunkPrefix(job) + paddedIndex(chunk) + "." + std::string(writer) + "." + std::to_string(part);
}

FileId resultFileId(JobId const &job, ResultFile kind)
{
    return FileId(std::string(FilePrefix) + job.value() + std::string(kind == ResultFile::Output ? OutputSuffix : ErrorsSuffix));
}

std::optional<ResultFileRef> parseResultFileId(FileId const &file)
{
    std::string_view text = file.value();
    if (!text.starts_with(FilePrefix))
        return std::nullopt;
    text.remove_prefix(FilePrefix.size());
    if (!text.starts_with(JobPrefix))
        return std::nullopt;
    for (auto const &[suffix, kind] : {std::pair(OutputSuffix, ResultFile::Output), std::pair(ErrorsSuffix, ResultFile::Errors)}) {
        if (text.ends_with(suffix))
            return ResultFileRef{.job = JobId(std::string(text.substr(0, text.size() - suffix.size()))), .kind = kind};
    }
    return std::nullopt;
}

} // namespace Anvilyard::Batch
