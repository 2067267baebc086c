#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace Anvilyard::Batch {

/// Returns whether a completion request can be streamed and its response reassembled without loss, and may generate enough tokens
/// to be worth resuming.
bool isWorthStreaming(boost::json::value const &body);

/// Assembles the response to a completions call from the lines of its server-sent events. Several responses may contribute to it one after
/// the other, each resumed where the last one was interrupted. It holds only what complete lines contained: the bytes of an unfinished line
/// end with the response that sent them. Performs no I/O.
class CompletionAssembler
{
public:
    /// Takes a complete line without its line break.
    void takeLine(std::string_view line);

    /// Returns whether the end marker was received and no event before it was malformed.
    [[nodiscard]] bool isComplete() const;
    /// Returns the id that the engine gave the stream. Empty before the first event.
    [[nodiscard]] std::string const &id() const;
    /// Returns the number of received tokens, which is the offset to resume from.
    [[nodiscard]] std::uint32_t tokens() const;
    [[nodiscard]] std::size_t bytes() const;
    /// Returns the response body as a call without streaming would have returned it.
    [[nodiscard]] std::string assembledResponse() const;

private:
    void readEvent(boost::json::object const &event);
    void readChoice(boost::json::object const &choice);

    std::string id_;
    std::string model_;
    std::string object_;
    std::string text_;
    std::string finishReason_;
    std::optional<boost::json::value> usage_;
    std::int64_t created_ = 0;
    std::uint32_t tokens_ = 0;
    bool isDone_ = false;
    bool isMalformed_ = false;
};

} // namespace Anvilyard::Batch
