#include "Utilities/FakeEngine/RunRecorder.h"

#include "LibCore/Time.h"

#include <boost/json.hpp>

namespace Anvilyard::FakeEngine {

namespace {

constexpr std::size_t RecordedPromptBytes = 200;

std::string_view eventName(RunEvent event)
{
    switch (event) {
    case RunEvent::Started:
        return "started";
    case RunEvent::Resumed:
        return "resumed";
    case RunEvent::Finished:
        return "finished";
    case RunEvent::Cancelled:
        return "cancelled";
    case RunEvent::Broken:
        return "broken";
    }
    return "unknown";
}

} // namespace

Result<std::unique_ptr<RunRecorder>> RunRecorder::create(std::string const &file)
{
    auto recorder = std::make_unique<RunRecorder>();
    if (file.empty())
        return recorder;
    recorder->stream_.open(file, std::ios::app);
    if (!recorder->stream_)
        return failure(std::errc::io_error, "cannot write " + file);
    return recorder;
}

bool RunRecorder::isRecording() const
{
    return stream_.is_open();
}

void RunRecorder::record(RunEvent event, RunIdentity const &identity, std::uint32_t tokens, std::string_view text)
{
    if (!isRecording())
        return;
    boost::json::object line{
        {"at_us", readLocalClock().time_since_epoch().count()},
        {"event", eventName(event)},
        {"id", identity.id},
        {"request_id", identity.requestId},
        {"custom_id", identity.customId},
        {"idempotency_key", identity.idempotencyKey},
        {"prompt", std::string_view(identity.prompt).substr(0, RecordedPromptBytes)},
        {"tokens", tokens},
        {"text", text},
    };
    stream_ << boost::json::serialize(line) << '\n' << std::flush;
}

} // namespace Anvilyard::FakeEngine
