#pragma once

#include "LibCore/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Anvilyard::FakeEngine {

enum class CompletionKind {
    Text,
    Chat,
};

enum class Delivery {
    Full,
    Stream,
};

/// A parsed request to either of the two completions paths.
struct CompletionRequest {
    CompletionKind kind = CompletionKind::Text;
    Delivery delivery = Delivery::Full;
    std::string model;
    std::string prompt;
    std::uint32_t tokens = 0;
    bool wantsUsage = false;
};

Result<CompletionRequest> parseCompletion(CompletionKind kind, std::string_view body);

/// Renders responses in OpenAI's format.
class CompletionFormat
{
public:
    CompletionFormat(CompletionRequest const &request, std::string id);

    /// Returns a server-sent event with one token.
    [[nodiscard]] std::string tokenEvent(std::string_view token, std::uint32_t index) const;
    /// Returns the events after the last token: finish reason, usage if requested, and [DONE].
    [[nodiscard]] std::string endEvents(std::uint32_t tokens) const;
    /// Returns the body of a response that is not streamed.
    [[nodiscard]] std::string fullResponse(std::string_view text, std::uint32_t tokens) const;

private:
    [[nodiscard]] std::string usage(std::uint32_t tokens) const;

    CompletionKind kind_;
    bool wantsUsage_;
    std::uint32_t promptTokens_;
    std::string eventHead_;
    std::string responseHead_;
};

/// Estimates the number of tokens at four bytes per token.
std::uint32_t countPromptTokens(std::string_view prompt);

} // namespace Anvilyard::FakeEngine
