#pragma once

#include "LibCore/Result.h"

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>

namespace Anvilyard::FakeEngine {

/// Identifiers that the caller sent with a request, and the id that the engine assigned.
struct RunIdentity {
    std::string id;
    std::string requestId;
    std::string customId;
    std::string idempotencyKey;
    /// The prompt, or the method, target and body for a plain service. Only the first 200 bytes are recorded.
    std::string prompt;
};

enum class RunEvent {
    Started,
    Resumed,
    Finished,
    /// Cancelled by id, or by a closed connection before the last token.
    Cancelled,
    /// Ended by an active fault.
    Broken,
};

/// Writes one JSON line for each start and end of a request. Each line is flushed immediately, so tests can read the file while
/// the engine is running or after it was killed.
class RunRecorder
{
public:
    /// The recorder ignores all events if `file` is empty.
    static Result<std::unique_ptr<RunRecorder>> create(std::string const &file);

    /// `text` is the complete text generated for a finished request, and empty for other events.
    void record(RunEvent event, RunIdentity const &identity, std::uint32_t tokens, std::string_view text = {});
    [[nodiscard]] bool isRecording() const;

private:
    std::ofstream stream_;
};

} // namespace Anvilyard::FakeEngine
