#pragma once

#include "LibBatch/JobRecords.h"
#include "LibBatch/Sha256.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace Anvilyard::Batch {

struct InputLimits {
    std::size_t lineBytes = 256UL * 1024;
    std::size_t chunkBytes = 384UL * 1024;
    std::uint32_t chunkItems = 256;
    std::uint32_t items = 200'000;
    std::size_t services = 32;
    std::size_t customIdBytes = 512;
};

/// Validates a submission line by line and groups its items into chunks. An error names the line and ends the submission. Performs no
/// I/O.
class InputBuilder
{
public:
    explicit InputBuilder(InputLimits limits);

    /// Returns `std::nullopt` if the line is valid or blank, otherwise an error message with the line number.
    std::optional<std::string> addLine(std::string_view line);
    /// Returns the current chunk if it is full.
    std::optional<std::vector<ItemSpec>> takeFullChunk();
    /// Returns the last chunk, if it has any items.
    std::optional<std::vector<ItemSpec>> takeLastChunk();

    [[nodiscard]] std::uint32_t items() const;
    [[nodiscard]] std::uint64_t bytes() const;
    [[nodiscard]] std::vector<std::uint32_t> const &chunkItems() const;
    [[nodiscard]] std::string const &endpoint() const;
    [[nodiscard]] std::vector<ServiceName> services() const;
    /// Returns the SHA-256 of all lines. May be called once, after the last line.
    std::string finishDigest();

private:
    std::optional<std::string> addItem(std::string_view line);
    std::vector<ItemSpec> takeChunk();

    InputLimits limits_;
    std::uint64_t lineNumber_ = 0;
    std::uint32_t items_ = 0;
    std::uint64_t bytes_ = 0;
    std::string endpoint_;
    std::set<ServiceName> services_;
    /// Stores 64-bit hashes, so that 170,000 ids take only a few megabytes.
    std::unordered_set<std::uint64_t> customIds_;
    std::vector<ItemSpec> chunk_;
    std::size_t chunkBytes_ = 0;
    std::vector<std::uint32_t> chunkItems_;
    Sha256 digest_;
};

} // namespace Anvilyard::Batch
