#include "LibFleet/WatcherElection.h"

#include "LibCore/Rendezvous.h"

#include <algorithm>
#include <map>

namespace Anvilyard::Fleet {

namespace {

struct Candidate {
    std::uint64_t score = 0;
    InstanceId id;

    auto operator<=>(Candidate const &) const = default;
};

Candidate candidateOf(InstanceRecord const &record)
{
    return {.score = rendezvousScore("watch " + record.dataCentre.value(), record.id.value()), .id = record.id};
}

} // namespace

std::optional<WatcherPlace> electWatcher(InstanceRecord const &self, std::vector<InstanceRecord const *> const &livePeers)
{
    std::map<DataCentreId, std::vector<Candidate>> byDataCentre;
    byDataCentre[self.dataCentre].push_back(candidateOf(self));
    for (auto const *peer : livePeers) {
        if (peer->state == MemberState::Alive)
            byDataCentre[peer->dataCentre].push_back(candidateOf(*peer));
    }
    std::vector<Candidate> watchers;
    for (auto &[dataCentre, candidates] : byDataCentre) {
        std::sort(candidates.rbegin(), candidates.rend());
        candidates.resize(std::min(candidates.size(), WatchersPerDataCentre));
        watchers.insert(watchers.end(), candidates.begin(), candidates.end());
    }
    std::sort(watchers.begin(), watchers.end());
    auto const own = std::find(watchers.begin(), watchers.end(), candidateOf(self));
    if (own == watchers.end())
        return std::nullopt;
    return WatcherPlace{.rank = static_cast<std::size_t>(own - watchers.begin()), .count = watchers.size()};
}

} // namespace Anvilyard::Fleet
