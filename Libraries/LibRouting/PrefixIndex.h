#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace Anvilyard::Routing {

/// Records which prompt prefixes the servers probably have cached. Bounded: the least recently used prefixes are evicted
/// first, as in the engines. Servers are numbered by the chooser. Performs no I/O.
class PrefixIndex
{
public:
    using ServerNumber = std::uint32_t;

    explicit PrefixIndex(std::size_t capacity);

    /// Records that a prompt with these prefixes, shortest first, was sent to the server.
    void add(ServerNumber server, std::span<std::uint64_t const> hashes);
    /// Records that an engine reported a prefix as cached. Ignored for prefixes that no prompt has had, as they are of no
    /// use.
    void confirm(ServerNumber server, std::uint64_t hash);
    /// Records that an engine reported a prefix as evicted.
    void remove(ServerNumber server, std::uint64_t hash);
    /// Invalidates all entries of a server, as after a gap in its cache events.
    void invalidateServer(ServerNumber server);
    void clear();

    /// Calls `visit(server, count)` for each server that has prefixes of the prompt, where `count` is the number of matching
    /// hashes. A server may be visited several times, with the largest count last.
    template<typename Visit>
    void match(std::span<std::uint64_t const> hashes, Visit visit) const
    {
        for (std::size_t index = 0; index < hashes.size(); ++index) {
            auto const found = entries_.find(hashes[index]);
            if (found == entries_.end())
                return;
            for (auto const &holder : found->second.holders) {
                if (holder.server != NoServer && holder.epoch == epochOf(holder.server))
                    visit(holder.server, index + 1);
            }
        }
    }

    [[nodiscard]] std::size_t size() const;

private:
    static constexpr ServerNumber NoServer = ~ServerNumber{0};
    static constexpr std::size_t MaxHolders = 4;

    /// A holder is valid only while its epoch equals that of its server. This makes it cheap to invalidate a server.
    struct Holder {
        ServerNumber server = NoServer;
        std::uint32_t epoch = 0;
    };

    struct Entry {
        std::array<Holder, MaxHolders> holders;
        std::list<std::uint64_t>::iterator used;
    };

    [[nodiscard]] std::uint32_t epochOf(ServerNumber server) const;
    void addHolder(Entry &entry, ServerNumber server);

    std::size_t capacity_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    /// Most recently used first.
    std::list<std::uint64_t> byRecency_;
    std::vector<std::uint32_t> epochs_;
};

} // namespace Anvilyard::Routing
