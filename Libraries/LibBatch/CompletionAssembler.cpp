#include "LibBatch/CompletionAssembler.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Anvilyard::Batch {

namespace json = boost::json;

namespace {

constexpr std::int64_t MinTokensToStream = 32;
constexpr std::string_view ChatChunk = "chat.completion.chunk";

/// Fields whose responses contain more than one text.
constexpr std::array<std::string_view, 8> UnsupportedFields = {
    "tools", "tool_choice", "functions", "logprobs", "top_logprobs", "best_of", "echo", "audio"};

std::string stringField(json::object const &object, std::string_view key)
{
    auto const *value = object.if_contains({key.data(), key.size()});
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

bool isWorthStreaming(json::value const &body)
{
    auto const *object = body.if_object();
    if (!object)
        return false;
    auto const isUnsupported = [&](std::string_view field) { return object->contains({field.data(), field.size()}); };
    if (std::any_of(UnsupportedFields.begin(), UnsupportedFields.end(), isUnsupported))
        return false;
    if (auto const *count = object->if_contains("n"); count && (!count->is_int64() || count->get_int64() != 1))
        return false;
    // Several prompts produce several choices.
    if (auto const *prompt = object->if_contains("prompt"); prompt && !prompt->is_string())
        return false;
    for (auto const *limit : {object->if_contains("max_tokens"), object->if_contains("max_completion_tokens")}) {
        if (limit && limit->is_int64() && limit->get_int64() < MinTokensToStream)
            return false;
    }
    return true;
}

void CompletionAssembler::takeLine(std::string_view line)
{
    static constexpr std::string_view Data = "data: ";
    if (!line.starts_with(Data))
        return;
    line.remove_prefix(Data.size());
    if (line == "[DONE]") {
        isDone_ = true;
        return;
    }
    boost::system::error_code error;
    auto const event = json::parse({line.data(), line.size()}, error);
    if (error || !event.is_object() || event.get_object().contains("error")) {
        isMalformed_ = true;
        return;
    }
    readEvent(event.get_object());
}

void CompletionAssembler::readEvent(json::object const &event)
{
    auto id = stringField(event, "id");
    // An event of another completion does not continue this one's text.
    if (!id.empty() && !id_.empty() && id != id_) {
        isMalformed_ = true;
        return;
    }
    if (id_.empty()) {
        id_ = std::move(id);
        model_ = stringField(event, "model");
        object_ = stringField(event, "object");
        if (auto const *created = event.if_contains("created"); created && created->is_int64())
            created_ = created->get_int64();
    }
    if (auto const *usage = event.if_contains("usage"); usage && usage->is_object())
        usage_ = *usage;
    auto const *choices = event.if_contains("choices");
    if (!choices || !choices->is_array())
        return;
    for (auto const &choice : choices->get_array()) {
        if (choice.is_object())
            readChoice(choice.get_object());
    }
}

void CompletionAssembler::readChoice(json::object const &choice)
{
    auto const *delta = choice.if_contains("delta");
    auto const text = delta && delta->is_object() ? stringField(delta->get_object(), "content") : stringField(choice, "text");
    if (!text.empty()) {
        text_ += text;
        ++tokens_;
    }
    if (auto reason = stringField(choice, "finish_reason"); !reason.empty())
        finishReason_ = std::move(reason);
}

bool CompletionAssembler::isComplete() const
{
    return isDone_ && !isMalformed_;
}

std::string const &CompletionAssembler::id() const
{
    return id_;
}

std::uint32_t CompletionAssembler::tokens() const
{
    return tokens_;
}

std::size_t CompletionAssembler::bytes() const
{
    return text_.size();
}

std::string CompletionAssembler::assembledResponse() const
{
    auto const isChat = object_ == ChatChunk;
    json::object choice{{"index", 0}, {"finish_reason", finishReason_.empty() ? json::value(nullptr) : json::value(finishReason_)}};
    if (isChat)
        choice["message"] = {{"role", "assistant"}, {"content", text_}};
    else
        choice["text"] = text_;
    json::object response{
        {"id", id_},
        {"object", isChat ? "chat.completion" : "text_completion"},
        {"created", created_},
        {"model", model_},
        {"choices", json::array{std::move(choice)}},
    };
    if (usage_)
        response["usage"] = *usage_;
    return json::serialize(response);
}

} // namespace Anvilyard::Batch
