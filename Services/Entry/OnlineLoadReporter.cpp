#include "Services/Entry/OnlineLoadReporter.h"

#include "LibFleet/BatchOwners.h"

#include <map>

namespace Anvilyard::Entry {

OnlineLoadReporter::OnlineLoadReporter(OnlineLoadReporterOptions options)
    : options_(std::move(options))
    , reporter_({})
    , self_(std::make_shared<OnlineLoadReporter *>(this))
{
}

void OnlineLoadReporter::onStarted(ServerId const &server)
{
    reporter_.onStarted(server, readLocalClock());
    sendDue();
}

void OnlineLoadReporter::onFinished(ServerId const &server)
{
    reporter_.onFinished(server, readLocalClock());
    sendDue();
}

void OnlineLoadReporter::sendDue()
{
    auto const due = reporter_.takeDue(readLocalClock());
    if (!due.empty()) {
        Fleet::BatchOwners const owners(*options_.fleet());
        std::map<Address, Peer::OnlineReport> reports;
        for (auto const &tally : due) {
            auto const *owner = owners.ownerOf(tally.server.value());
            if (!owner)
                continue;
            auto &report = reports[owner->batchPeerAddress];
            report.from = options_.instance;
            report.processIncarnation = options_.processIncarnation;
            report.counts.push_back({.server = tally.server, .started = tally.started, .finished = tally.finished});
        }
        for (auto &[address, report] : reports)
            options_.send(address, std::move(report));
    }
    scheduleTick();
}

void OnlineLoadReporter::scheduleTick()
{
    auto const next = reporter_.nextDue();
    if (!next || (tickAt_ && *tickAt_ <= *next))
        return;
    tickAt_ = next;
    options_.control.postAt(*next, [weak = std::weak_ptr(self_)] {
        auto const self = weak.lock();
        if (!self)
            return;
        (*self)->tickAt_.reset();
        (*self)->sendDue();
    });
}

} // namespace Anvilyard::Entry
