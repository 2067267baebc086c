#pragma once

#include <cstddef>

namespace Anvilyard::Serving {

/// Decides whether bytes of an event stream are progress: a completed event or comment, or a good part of a long event. The load pattern is
/// a server that sends a byte of an event now and then, which would otherwise never count as silent.
class StreamProgress
{
public:
    /// Servers send even a long event in pieces that are larger than this.
    static constexpr std::size_t MinUnfinishedBytes = 256;

    /// `completed`: bytes of the events that the piece completed.
    [[nodiscard]] bool onPiece(std::size_t pieceBytes, std::size_t completed);

private:
    std::size_t bytesSinceProgress_ = 0;
};

} // namespace Anvilyard::Serving
