#include "LibBatch/InputBuilder.h"

#include "LibBatch/ItemLine.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Anvilyard::Batch {

namespace {

/// Returns the size of a text in a stored JSON string, where quotes and backslashes take two bytes each.
std::size_t storedSize(std::string_view text)
{
    auto const escaped = std::count_if(text.begin(), text.end(), [](char letter) { return letter == '"' || letter == '\\'; });
    return text.size() + static_cast<std::size_t>(escaped);
}

} // namespace

InputBuilder::InputBuilder(InputLimits limits)
    : limits_(limits)
{
}

std::optional<std::string> InputBuilder::addLine(std::string_view line)
{
    ++lineNumber_;
    if (line.find_first_not_of(" \t") == std::string_view::npos)
        return std::nullopt;
    auto errorMessage = addItem(line);
    if (errorMessage)
        errorMessage = "line " + std::to_string(lineNumber_) + ": " + *errorMessage;
    return errorMessage;
}

std::optional<std::string> InputBuilder::addItem(std::string_view line)
{
    if (items_ == limits_.items)
        return "more than " + std::to_string(limits_.items) + " items";
    auto item = parseItemLine(line);
    if (!item)
        return item.error();
    if (item->customId.size() > limits_.customIdBytes)
        return "\"custom_id\" is longer than " + std::to_string(limits_.customIdBytes) + " bytes";
    if (!customIds_.insert(XXH3_64bits(item->customId.data(), item->customId.size())).second)
        return "\"custom_id\" was used by an earlier line";
    if (endpoint_.empty())
        endpoint_ = item->url;
    if (item->url != endpoint_)
        return "\"url\" differs from that of earlier lines, " + endpoint_;
    services_.insert(item->service);
    if (services_.size() > limits_.services)
        return "more than " + std::to_string(limits_.services) + " models";
    digest_.add(line);
    digest_.add("\n");
    bytes_ += line.size() + 1;
    ++items_;
    chunkBytes_ += storedSize(item->body) + storedSize(item->customId);
    chunk_.push_back(std::move(*item));
    return std::nullopt;
}

std::optional<std::vector<ItemSpec>> InputBuilder::takeFullChunk()
{
    if (chunk_.size() < limits_.chunkItems && chunkBytes_ < limits_.chunkBytes)
        return std::nullopt;
    return takeChunk();
}

std::optional<std::vector<ItemSpec>> InputBuilder::takeLastChunk()
{
    if (chunk_.empty())
        return std::nullopt;
    return takeChunk();
}

std::vector<ItemSpec> InputBuilder::takeChunk()
{
    chunkItems_.push_back(static_cast<std::uint32_t>(chunk_.size()));
    chunkBytes_ = 0;
    return std::exchange(chunk_, {});
}

std::uint32_t InputBuilder::items() const
{
    return items_;
}

std::uint64_t InputBuilder::bytes() const
{
    return bytes_;
}

std::vector<std::uint32_t> const &InputBuilder::chunkItems() const
{
    return chunkItems_;
}

std::string const &InputBuilder::endpoint() const
{
    return endpoint_;
}

std::vector<ServiceName> InputBuilder::services() const
{
    return {services_.begin(), services_.end()};
}

std::string InputBuilder::finishDigest()
{
    return digest_.finish();
}

} // namespace Anvilyard::Batch
