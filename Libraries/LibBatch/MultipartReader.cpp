#include "LibBatch/MultipartReader.h"

#include "LibHttp/HttpMessage.h"

#include <utility>

namespace Anvilyard::Batch {

namespace {

/// Returns the value of `name="value"` or `name=value` among a header's parameters.
std::optional<std::string> parameterOf(std::string_view header, std::string_view name)
{
    auto position = header.find(';');
    while (position != std::string_view::npos) {
        auto parameter = header.substr(position + 1);
        position = header.find(';', position + 1);
        parameter.remove_prefix(std::min(parameter.find_first_not_of(" \t"), parameter.size()));
        auto const equals = parameter.find('=');
        if (equals == std::string_view::npos || !Http::equalsIgnoringCase(parameter.substr(0, equals), name))
            continue;
        auto value = parameter.substr(equals + 1);
        if (value.starts_with('"')) {
            value.remove_prefix(1);
            return std::string(value.substr(0, value.find('"')));
        }
        return std::string(value.substr(0, value.find_first_of("; \t\r")));
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> MultipartReader::boundaryOf(std::string_view contentType)
{
    static constexpr std::string_view Form = "multipart/form-data";
    if (contentType.size() < Form.size() || !Http::equalsIgnoringCase(contentType.substr(0, Form.size()), Form))
        return std::nullopt;
    auto boundary = parameterOf(contentType, "boundary");
    return boundary && !boundary->empty() ? boundary : std::nullopt;
}

MultipartReader::MultipartReader(std::string_view boundary)
    : delimiter_("\r\n--" + std::string(boundary))
    // The first delimiter has no preceding line break.
    , buffer_("\r\n")
{
}

MultipartReader::State MultipartReader::feed(std::string_view piece, std::function<void(std::string_view)> const &onFile)
{
    if (stage_ != Stage::End)
        buffer_.append(piece);
    while (step(onFile)) { }
    if (stage_ == Stage::Malformed)
        return State::Malformed;
    return stage_ == Stage::End ? State::Complete : State::Reading;
}

bool MultipartReader::step(std::function<void(std::string_view)> const &onFile)
{
    switch (stage_) {
    case Stage::BeforeDelimiter:
        if (buffer_.size() >= delimiter_.size() && !buffer_.starts_with(delimiter_))
            stage_ = Stage::Malformed;
        if (!buffer_.starts_with(delimiter_))
            return false;
        buffer_.erase(0, delimiter_.size());
        stage_ = Stage::AfterDelimiter;
        return true;
    case Stage::AfterDelimiter:
        return readAfterDelimiter();
    case Stage::Headers:
        return readHeaders();
    case Stage::Body:
        return readBody(onFile);
    case Stage::End:
    case Stage::Malformed:
        return false;
    }
    return false;
}

bool MultipartReader::readAfterDelimiter()
{
    if (buffer_.size() < 2)
        return false;
    if (buffer_.starts_with("--")) {
        buffer_.clear();
        stage_ = Stage::End;
        return false;
    }
    stage_ = buffer_.starts_with("\r\n") ? Stage::Headers : Stage::Malformed;
    buffer_.erase(0, 2);
    return stage_ == Stage::Headers;
}

bool MultipartReader::readHeaders()
{
    auto const end = buffer_.find("\r\n\r\n");
    if (end == std::string::npos) {
        if (buffer_.size() > HeadersLimitBytes)
            stage_ = Stage::Malformed;
        return false;
    }
    partName_.clear();
    std::string_view headers(buffer_.data(), end);
    while (!headers.empty()) {
        auto const lineEnd = headers.find("\r\n");
        auto const line = headers.substr(0, lineEnd);
        static constexpr std::string_view Disposition = "content-disposition:";
        if (line.size() > Disposition.size() && Http::equalsIgnoringCase(line.substr(0, Disposition.size()), Disposition)) {
            partName_ = parameterOf(line, "name").value_or("");
            if (partName_ == "file")
                filename_ = parameterOf(line, "filename").value_or("");
        }
        headers.remove_prefix(lineEnd == std::string_view::npos ? headers.size() : lineEnd + 2);
    }
    // The content of a second file would be appended to that of the first.
    if (partName_ == "file" && std::exchange(hasFile_, true)) {
        stage_ = Stage::Malformed;
        return false;
    }
    buffer_.erase(0, end + 4);
    stage_ = Stage::Body;
    return true;
}

bool MultipartReader::readBody(std::function<void(std::string_view)> const &onFile)
{
    auto const end = buffer_.find(delimiter_);
    if (end != std::string::npos) {
        emitBody(std::string_view(buffer_).substr(0, end), onFile);
        buffer_.erase(0, end + delimiter_.size());
        stage_ = stage_ == Stage::Malformed ? Stage::Malformed : Stage::AfterDelimiter;
        return stage_ != Stage::Malformed;
    }
    // The end of the buffer may be the beginning of a delimiter.
    if (buffer_.size() > delimiter_.size()) {
        auto const safeSize = buffer_.size() - delimiter_.size();
        emitBody(std::string_view(buffer_).substr(0, safeSize), onFile);
        buffer_.erase(0, safeSize);
    }
    return false;
}

void MultipartReader::emitBody(std::string_view text, std::function<void(std::string_view)> const &onFile)
{
    if (partName_ == "file")
        onFile(text);
    if (partName_ == "purpose")
        purpose_.append(text);
    if (purpose_.size() > FieldLimitBytes)
        stage_ = Stage::Malformed;
}

std::string const &MultipartReader::filename() const
{
    return filename_;
}

std::string const &MultipartReader::purpose() const
{
    return purpose_;
}

bool MultipartReader::hasFile() const
{
    return hasFile_;
}

} // namespace Anvilyard::Batch
