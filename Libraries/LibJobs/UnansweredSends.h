#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <optional>

namespace Anvilyard::Jobs {

/// Counts the sends of one item that reached a server and were not answered. Servers may have answered them with errors that were lost on
/// the way, so their number is limited over all owners of the item's job. Each owner records its own count in the store; a send after an
/// unanswered one is included from before it starts until it has ended, as its owner may end meanwhile. An item that waits has no such
/// send, so that owners that end while it waits leave nothing behind.
class UnansweredSends
{
public:
    /// Number of such sends, over all owners.
    [[nodiscard]] std::uint32_t count() const;
    /// Whether other owners have recorded some.
    [[nodiscard]] bool hasOthers() const;
    /// When this owner's last one ended; `Instant::min()` if it has none.
    [[nodiscard]] Instant lastAt() const;
    /// Whether servers may have answered with errors that were lost on the way.
    [[nodiscard]] bool mayHaveFailedUnseen() const;
    /// Whether a server has sent a part of the output, so that the item does not fail each time.
    [[nodiscard]] bool hasResponded() const;

    void onUnanswered(Instant now);
    void onResponded();
    /// Called when the server of such a send has crashed, so that it has not answered with an error.
    void onServerCrashed();

    enum class SendState {
        None,
        /// The item is being sent, or is about to be.
        Sending,
    };
    /// Returns what this owner has to record; `std::nullopt` for no count. 0 stands for an item that has responded.
    [[nodiscard]] std::optional<std::uint32_t> toRecord(SendState state) const;
    /// Whether the record is as it has to be.
    [[nodiscard]] bool isRecorded(SendState state) const;
    /// Called when this owner's record holds this count.
    void onRecorded(std::optional<std::uint32_t> count);
    /// Sets the sum of the counts of the other owners; `std::nullopt` for none. 0 means that one of them has got a response.
    void setOthers(std::optional<std::uint32_t> count);

private:
    std::uint32_t own_ = 0;
    std::uint32_t others_ = 0;
    /// What the record of this owner holds.
    std::optional<std::uint32_t> recorded_;
    Instant lastAt_ = Instant::min();
    bool hasResponded_ = false;
    /// Whether some owner has recorded that the item has responded.
    bool isResponseRecorded_ = false;
};

} // namespace Anvilyard::Jobs
