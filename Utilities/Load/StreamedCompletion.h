#pragma once

#include "LibCore/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Load {

/// Incrementally parses one streamed completion, records the time of each token, and compares the text with the expected one.
class StreamedCompletion
{
public:
    explicit StreamedCompletion(std::string expectedText);

    void onPiece(std::string_view piece, Instant now);

    enum class Verdict {
        Complete,
        /// The stream ended before [DONE] or before its last token.
        Truncated,
        /// The stream contains text that is not part of the expected response, or an unparsable event.
        Mismatched,
        /// The stream contains an error event.
        ErrorEvent,
    };
    [[nodiscard]] Verdict verdict() const;
    [[nodiscard]] std::optional<Instant> firstToken() const;
    [[nodiscard]] std::vector<Duration> const &gaps() const;
    [[nodiscard]] std::size_t tokens() const;

private:
    void onData(std::string_view data, Instant now);
    void onText(std::string_view text, Instant now);

    std::string expected_;
    std::string partialLine_;
    std::size_t matchedBytes_ = 0;
    bool isDone_ = false;
    bool isMismatched_ = false;
    bool hasError_ = false;
    std::optional<Instant> firstToken_;
    Instant lastToken_;
    std::vector<Duration> gaps_;
};

} // namespace Anvilyard::Load
