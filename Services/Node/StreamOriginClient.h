#pragma once

#include "LibHttp/HttpServer.h"
#include "Services/Node/NodeContext.h"
#include "Services/Node/VersionRegister.h"

#include <functional>
#include <memory>

namespace Anvilyard::Node {

/// Remembers which software version each stream began at, and finds that version for a stream that its caller resumes. While several
/// versions are in use, two runners are notified of the start of each stream, so that it is still known when the entry is gone. A version
/// that no instance knows is not guessed.
class StreamOriginClient
{
public:
    enum class Finding {
        Known,
        /// Several versions may have begun the stream, and no instance knows which.
        Unknown,
        /// The instances or the store that may know did not respond.
        Unreachable,
    };
    using Callback = std::function<void(Finding finding, Serving::StreamOrigin origin)>;
    using SendDatagram = std::function<void(Address const &to, std::string const &content)>;

    StreamOriginClient(NodeContext &context, VersionRegister &versions, SendDatagram send);

    /// Records the begin of a stream, before its caller receives an event.
    void onBegun(RequestId const &stream, Serving::StreamOrigin const &origin);
    /// Finds the origin of a stream. `stream` is the caller's attempt that brought its first event, and `pool` the pool in which it would
    /// have begun.
    void find(RequestId const &stream, PoolName const &pool, Callback onDone);
    /// Returns whether the request was a question of another instance.
    bool handle(Http::HttpRequest const &request, std::shared_ptr<Http::ResponseWriter> const &writer);

private:
    /// What one search has found so far.
    struct Search;

    /// Asks those of the runners that remember the stream which were not asked yet.
    void askKeepers(std::shared_ptr<Search> const &search);
    void askRunner(Address const &runner, std::shared_ptr<Search> const &search);
    void onAnswer(std::shared_ptr<Search> const &search);
    /// Ends the search if its result is certain, or if nothing more can be found.
    void conclude(Search &search);

    NodeContext &context_;
    VersionRegister &versions_;
    SendDatagram send_;
    /// Until then not all runners may have reported to this instance.
    Instant runnersKnownAt_;
};

} // namespace Anvilyard::Node
