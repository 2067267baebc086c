#include "LibObserve/JsonLog.h"

#include "LibObserve/Events.h"

#include <boost/json/serialize.hpp>
#include <cerrno>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

namespace Anvilyard::Observe {

namespace {

constexpr Duration ReportInterval = 1s;

std::string_view levelName(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return "debug";
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "";
}

std::string formatTime(WallInstant time)
{
    auto const sinceEpoch = time.time_since_epoch().count();
    auto const seconds = static_cast<std::time_t>(sinceEpoch / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[40];
    auto const length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    auto const millis = std::to_string(1000 + sinceEpoch % 1000);
    return std::string(text, length) + "." + millis.substr(1) + "Z";
}

} // namespace

std::string toJsonLine(EventDefinition const &event, std::initializer_list<Field> fields, WallInstant time, std::string const &instance)
{
    std::string line = R"({"time":")" + formatTime(time) + '"';
    if (!instance.empty())
        line += ",\"instance\":" + boost::json::serialize(boost::json::string_view(instance));
    line += R"(,"level":")";
    line += levelName(event.severity);
    line += R"(","event":)" + std::to_string(event.number) + R"(,"name":")";
    line += event.name;
    line += '"';
    for (auto const &[name, value] : fields) {
        line += ",\"";
        line += name;
        line += "\":";
        line += boost::json::serialize(boost::json::string_view(value.data(), value.size()));
    }
    line += "}\n";
    return line;
}

JsonLog::JsonLog(JsonLogOptions options)
    : options_(std::move(options))
    , budget_(options_.budget)
{
    if (auto const flags = ::fcntl(options_.descriptor, F_GETFL); flags >= 0)
        static_cast<void>(::fcntl(options_.descriptor, F_SETFL, flags | O_NONBLOCK));
    setLogSink([this](EventDefinition const &event, std::initializer_list<Field> fields) { append(event, fields); });
}

JsonLog::~JsonLog()
{
    setLogSink(nullptr);
    flush();
}

void JsonLog::append(EventDefinition const &event, std::initializer_list<Field> fields)
{
    if (event.severity < options_.minSeverity)
        return;
    auto const now = options_.clock();
    if (!budget_.take(event, now.local))
        return;
    if (buffer_.size() >= options_.maxBufferBytes) {
        ++overflowedLines_;
        return;
    }
    buffer_ += toJsonLine(event, fields, now.wall, options_.instance);
}

void JsonLog::reportDroppedLines()
{
    auto const now = options_.clock();
    if (now.local < nextReport_)
        return;
    nextReport_ = now.local + ReportInterval;
    auto const report = [&](std::string const &event, std::uint64_t lines) {
        droppedLines_ += lines;
        buffer_ +=
            toJsonLine(Events::LogLinesLeftOut, {{"left_out_event", event}, {"lines", std::to_string(lines)}}, now.wall, options_.instance);
    };
    for (auto const &[event, lines] : budget_.takeDroppedLines())
        report(std::to_string(event), lines);
    if (overflowedLines_ > 0)
        report("any", std::exchange(overflowedLines_, 0));
}

void JsonLog::flush()
{
    reportDroppedLines();
    while (!buffer_.empty()) {
        auto const written = ::write(options_.descriptor, buffer_.data(), buffer_.size());
        if (written < 0 && errno == EINTR)
            continue;
        // If the reader is busy, the rest is written later. If the output is closed, the buffer is discarded, because the error
        // cannot be reported anywhere else.
        if (written <= 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK)
                buffer_.clear();
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

void JsonLog::setMinSeverity(Severity minSeverity)
{
    options_.minSeverity = minSeverity;
}

std::uint64_t JsonLog::droppedLines() const
{
    return droppedLines_;
}

} // namespace Anvilyard::Observe
