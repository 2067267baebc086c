#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace Anvilyard::Routing {

/// Hashes of a prompt's prefixes, shortest first, as engines report them in their cache events: each block of 256 bytes is
/// hashed with the hash of the preceding blocks as seed. Only prefixes whose length in blocks is a power of two or midway
/// between two of them are included, so a long prompt needs few look-ups while two prompts with a common prefix still share
/// the hashes of most of it.
class PromptPrefix
{
public:
    PromptPrefix() = default;
    explicit PromptPrefix(std::string_view prompt);
    /// Creates the prefix of a prompt whose caller supplies one hash for each prefix, shortest first.
    static PromptPrefix ofHashes(std::vector<std::uint64_t> hashes);

    [[nodiscard]] std::vector<std::uint64_t> const &hashes() const;
    /// Identifies the group of prompts with the same first blocks; used to select the first server that caches them.
    [[nodiscard]] std::uint64_t groupHash() const;

private:
    static constexpr std::size_t BlockBytes = 256;
    static constexpr std::size_t GroupBlocks = 4;
    static constexpr std::size_t MaxBlocks = 1024;

    std::vector<std::uint64_t> hashes_;
    std::uint64_t groupHash_ = 0;
};

} // namespace Anvilyard::Routing
