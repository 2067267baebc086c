#include "Utilities/Load/StreamedCompletion.h"

#include <boost/json.hpp>

namespace Anvilyard::Load {

namespace {

constexpr std::string_view DataField = "data: ";

/// Returns the text of one event of a completion or chat completion; `std::nullopt` if the event has no choice or no text.
std::optional<std::string> readText(boost::json::object const &event)
{
    auto const &choices = event.at("choices").as_array();
    if (choices.empty())
        return std::nullopt;
    auto const &choice = choices.front().as_object();
    if (auto const *text = choice.if_contains("text"))
        return std::string(text->as_string());
    auto const *content = choice.at("delta").as_object().if_contains("content");
    return content == nullptr ? std::nullopt : std::optional(std::string(content->as_string()));
}

} // namespace

StreamedCompletion::StreamedCompletion(std::string expectedText)
    : expected_(std::move(expectedText))
{
}

void StreamedCompletion::onPiece(std::string_view piece, Instant now)
{
    for (auto end = piece.find('\n'); end != std::string_view::npos; end = piece.find('\n')) {
        partialLine_ += piece.substr(0, end);
        piece.remove_prefix(end + 1);
        if (std::string_view(partialLine_).starts_with(DataField))
            onData(std::string_view(partialLine_).substr(DataField.size()), now);
        partialLine_.clear();
    }
    partialLine_ += piece;
}

StreamedCompletion::Verdict StreamedCompletion::verdict() const
{
    if (hasError_)
        return Verdict::ErrorEvent;
    if (isMismatched_)
        return Verdict::Mismatched;
    return isDone_ && matchedBytes_ == expected_.size() ? Verdict::Complete : Verdict::Truncated;
}

std::optional<Instant> StreamedCompletion::firstToken() const
{
    return firstToken_;
}

std::vector<Duration> const &StreamedCompletion::gaps() const
{
    return gaps_;
}

std::size_t StreamedCompletion::tokens() const
{
    return firstToken_ ? gaps_.size() + 1 : 0;
}

void StreamedCompletion::onData(std::string_view data, Instant now)
{
    if (data == "[DONE]") {
        isDone_ = true;
        return;
    }
    try {
        auto const event = boost::json::parse(data);
        if (event.as_object().contains("error")) {
            hasError_ = true;
            return;
        }
        if (auto const text = readText(event.as_object()); text && !text->empty())
            onText(*text, now);
    } catch (std::exception const &) {
        isMismatched_ = true;
    }
}

void StreamedCompletion::onText(std::string_view text, Instant now)
{
    // Text after [DONE] does not belong to the response either.
    if (isDone_ || std::string_view(expected_).substr(matchedBytes_, text.size()) != text)
        isMismatched_ = true;
    matchedBytes_ += text.size();
    if (firstToken_)
        gaps_.push_back(now - lastToken_);
    else
        firstToken_ = now;
    lastToken_ = now;
}

} // namespace Anvilyard::Load
