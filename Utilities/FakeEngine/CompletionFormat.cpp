#include "Utilities/FakeEngine/CompletionFormat.h"

#include "Tests/Fakes/ExpectedText/ExpectedText.h"

#include <boost/json.hpp>

namespace Anvilyard::FakeEngine {

namespace {

constexpr std::uint32_t MaxTokens = 1'000'000;

std::string readText(boost::json::value const &value)
{
    if (value.is_string())
        return std::string(value.as_string());
    // A list contains either a single prompt or the parts of one message's content.
    std::string text;
    for (auto const &part : value.as_array())
        text += part.is_string() ? std::string_view(part.as_string()) : std::string_view(part.at("text").as_string());
    return text;
}

std::string readChatPrompt(boost::json::value const &messages)
{
    std::string prompt;
    for (auto const &message : messages.as_array())
        prompt += Fakes::chatPromptPart(std::string_view(message.at("role").as_string()), readText(message.at("content")));
    return prompt;
}

bool readFlag(boost::json::object const &object, std::string_view key)
{
    auto const *value = object.if_contains(key);
    return value != nullptr && value->as_bool();
}

std::string quoted(std::string_view text)
{
    return boost::json::serialize(boost::json::string(text));
}

} // namespace

Result<CompletionRequest> parseCompletion(CompletionKind kind, std::string_view body)
{
    try {
        auto const parsed = boost::json::parse(body);
        auto const &object = parsed.as_object();
        CompletionRequest request{.kind = kind, .model = std::string(object.at("model").as_string())};
        request.prompt = kind == CompletionKind::Chat ? readChatPrompt(object.at("messages")) : readText(object.at("prompt"));
        auto const *tokens = object.if_contains("max_tokens");
        if (tokens == nullptr)
            tokens = object.if_contains("max_completion_tokens");
        request.tokens = tokens == nullptr || tokens->is_null() ? Fakes::DefaultTokens : tokens->to_number<std::uint32_t>();
        if (request.tokens == 0 || request.tokens > MaxTokens)
            return failure(std::errc::invalid_argument, "max_tokens is out of range");
        request.delivery = readFlag(object, "stream") ? Delivery::Stream : Delivery::Full;
        if (auto const *options = object.if_contains("stream_options"); options != nullptr && options->is_object())
            request.wantsUsage = readFlag(options->as_object(), "include_usage");
        return request;
    } catch (std::exception const &exception) {
        return failure(std::errc::invalid_argument, exception.what());
    }
}

CompletionFormat::CompletionFormat(CompletionRequest const &request, std::string id)
    : kind_(request.kind)
    , wantsUsage_(request.wantsUsage)
    , promptTokens_(countPromptTokens(request.prompt))
{
    bool const isChat = kind_ == CompletionKind::Chat;
    auto const common = R"({"id":)" + quoted(id) + R"(,"created":0,"model":)" + quoted(request.model) + R"(,"object":)";
    eventHead_ = common + (isChat ? R"("chat.completion.chunk")" : R"("text_completion")");
    responseHead_ = common + (isChat ? R"("chat.completion")" : R"("text_completion")");
}

std::string CompletionFormat::tokenEvent(std::string_view token, std::uint32_t index) const
{
    auto event = "data: " + eventHead_;
    if (kind_ == CompletionKind::Chat) {
        event += R"(,"choices":[{"index":0,"delta":{)";
        event += index == 0 ? R"("role":"assistant",)" : "";
        event += R"("content":)" + quoted(token) + R"(},"finish_reason":null}]})";
    } else {
        event += R"(,"choices":[{"index":0,"text":)" + quoted(token) + R"(,"finish_reason":null}]})";
    }
    return event + "\n\n";
}

std::string CompletionFormat::endEvents(std::uint32_t tokens) const
{
    auto events = "data: " + eventHead_ + R"(,"choices":[{"index":0,)" + (kind_ == CompletionKind::Chat ? R"("delta":{})" : R"("text":"")")
        + R"(,"finish_reason":"length"}]})" + "\n\n";
    if (wantsUsage_)
        events += "data: " + eventHead_ + R"(,"choices":[],"usage":)" + usage(tokens) + "}\n\n";
    return events + "data: [DONE]\n\n";
}

std::string CompletionFormat::fullResponse(std::string_view text, std::uint32_t tokens) const
{
    auto const content =
        kind_ == CompletionKind::Chat ? R"("message":{"role":"assistant","content":)" + quoted(text) + "}" : R"("text":)" + quoted(text);
    return responseHead_ + R"(,"choices":[{"index":0,)" + content + R"(,"finish_reason":"length"}],"usage":)" + usage(tokens) + "}";
}

std::string CompletionFormat::usage(std::uint32_t tokens) const
{
    return R"({"prompt_tokens":)" + std::to_string(promptTokens_) + R"(,"completion_tokens":)" + std::to_string(tokens)
        + R"(,"total_tokens":)" + std::to_string(promptTokens_ + tokens) + "}";
}

std::uint32_t countPromptTokens(std::string_view prompt)
{
    constexpr std::size_t BytesPerToken = 4;
    return static_cast<std::uint32_t>(prompt.size() / BytesPerToken + 1);
}

} // namespace Anvilyard::FakeEngine
