#include "LibServing/StreamProgress.h"

namespace Anvilyard::Serving {

bool StreamProgress::onPiece(std::size_t pieceBytes, std::size_t completed)
{
    bytesSinceProgress_ += pieceBytes;
    if (completed == 0 && bytesSinceProgress_ < MinUnfinishedBytes)
        return false;
    bytesSinceProgress_ = 0;
    return true;
}

} // namespace Anvilyard::Serving
