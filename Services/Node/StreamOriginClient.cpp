#include "Services/Node/StreamOriginClient.h"

#include "LibServing/VersionRecord.h"

#include <algorithm>
#include <set>

namespace Anvilyard::Node {

using Serving::SoftwareVersions;
using Serving::StreamOrigin;

namespace {

constexpr std::string_view OriginPath = "/streams/origin";
/// Instances and the store respond within milliseconds.
constexpr Duration SearchTimeout = 300ms;
/// Within this time of its start, an instance has received reports of all runners.
constexpr Duration RunnerReportTime = 2s;
constexpr Duration RecheckInterval = 30ms;
constexpr int FoundStatus = 200;
constexpr int UnknownStatus = 404;
constexpr int BadRequestStatus = 400;

} // namespace

struct StreamOriginClient::Search {
    RequestId stream;
    PoolName pool;
    Callback onDone;
    Instant deadline;
    std::set<InstanceId> asked;
    /// Number of answers that are still to come.
    std::size_t pending = 0;
    std::optional<StreamOrigin> origin;
    /// The record in the store; unset if it was not read.
    std::optional<SoftwareVersions> stored;
    /// Versions in the record as other instances know it.
    std::vector<SoftwareVersions> known;
    bool isRunnerSilent = false;
    /// Ends the search.
    std::unique_ptr<Http::Timer> timeout;
    /// Looks for runners that have reported meanwhile.
    std::unique_ptr<Http::Timer> recheck;
};

StreamOriginClient::StreamOriginClient(NodeContext &context, VersionRegister &versions, SendDatagram send)
    : context_(context)
    , versions_(versions)
    , send_(std::move(send))
    , runnersKnownAt_(readLocalClock() + RunnerReportTime)
{
}

void StreamOriginClient::onBegun(RequestId const &stream, StreamOrigin const &origin)
{
    context_.origins.onBegun(stream, origin, readLocalClock());
    bool const isCertain = context_.versions.recorded(origin.pool).size() <= 1 && context_.versions.inUse(origin.pool).size() <= 1;
    if (isCertain)
        return;
    auto const content = Serving::encodeStreamBegin(stream, origin);
    for (auto const &runner : context_.peers.originKeepersOf(stream)) {
        if (auto const address = context_.peers.addressOf(runner))
            send_(*address, content);
    }
}

void StreamOriginClient::find(RequestId const &stream, PoolName const &pool, Callback onDone)
{
    if (auto const origin = context_.origins.find(stream))
        return onDone(Finding::Known, *origin);
    auto const search = std::make_shared<Search>();
    search->stream = stream;
    search->pool = pool;
    search->onDone = std::move(onDone);
    search->deadline = readLocalClock() + SearchTimeout;
    search->timeout = context_.loop.at(search->deadline, [this, weak = std::weak_ptr(search)] {
        if (auto const overdue = weak.lock())
            conclude(*overdue);
    });
    search->pending = 1;
    askKeepers(search);
    versions_.read(pool, [this, search](std::optional<SoftwareVersions> stored) {
        search->stored = std::move(stored);
        onAnswer(search);
    });
}

void StreamOriginClient::askKeepers(std::shared_ptr<Search> const &search)
{
    if (search->stream.value().empty())
        return;
    for (auto const &runner : context_.peers.originKeepersOf(search->stream)) {
        auto const address = context_.peers.addressOf(runner);
        if (address && search->asked.insert(runner).second)
            askRunner(*address, search);
    }
}

void StreamOriginClient::askRunner(Address const &runner, std::shared_ptr<Search> const &search)
{
    ++search->pending;
    Http::ClientRequest request{
        .server = runner,
        .request = {.method = "POST",
                    .target = std::string(OriginPath),
                    .body = Serving::encodeStreamBegin(search->stream, {.pool = search->pool, .version = {}})},
        .deadline = search->deadline,
        .connectTimeout = SearchTimeout,
    };
    context_.peerClient->fetch(std::move(request), [this, search](tl::expected<Http::HttpResponse, Http::ExchangeFailure> answer) {
        auto const origin = answer && answer->status == FoundStatus ? Serving::decodeStreamBegin(answer->body) : tl::unexpected(Error());
        auto const known = answer && answer->status == UnknownStatus ? Serving::decodeVersions(answer->body) : tl::unexpected(Error());
        if (origin)
            search->origin = origin->second;
        else if (known)
            search->known.push_back(*known);
        else
            search->isRunnerSilent = true;
        onAnswer(search);
    });
}

void StreamOriginClient::onAnswer(std::shared_ptr<Search> const &search)
{
    --search->pending;
    conclude(*search);
    auto const now = readLocalClock();
    // A runner that has not reported to this instance yet may know the stream.
    bool const mayFindMore = search->onDone && search->pending == 0 && now < runnersKnownAt_;
    if (!mayFindMore)
        return;
    search->recheck = context_.loop.at(now + RecheckInterval, [this, search] {
        if (!search->onDone)
            return;
        askKeepers(search);
        if (search->pending > 0)
            return;
        ++search->pending;
        onAnswer(search);
    });
}

void StreamOriginClient::conclude(Search &search)
{
    if (!search.onDone)
        return;
    auto const finish = [&](Finding finding, StreamOrigin const &origin = {}) {
        search.timeout.reset();
        search.recheck.reset();
        std::exchange(search.onDone, nullptr)(finding, origin);
    };
    if (search.origin)
        return finish(Finding::Known, *search.origin);
    if (search.stored && search.stored->size() == 1)
        return finish(Finding::Known, {.pool = search.pool, .version = *search.stored->begin()});
    auto const now = readLocalClock();
    if (now < search.deadline && (search.pending > 0 || now < runnersKnownAt_))
        return;
    // While the store does not respond no version is added to its record. The last one is known to other instances as well.
    auto const own = context_.versions.recorded(search.pool);
    bool const isAgreed =
        !search.known.empty() && std::all_of(search.known.begin(), search.known.end(), [&](auto const &known) { return known == own; });
    if (!search.stored && own.size() == 1 && isAgreed)
        return finish(Finding::Known, {.pool = search.pool, .version = *own.begin()});
    finish(!search.stored || search.isRunnerSilent ? Finding::Unreachable : Finding::Unknown);
}

bool StreamOriginClient::handle(Http::HttpRequest const &request, std::shared_ptr<Http::ResponseWriter> const &writer)
{
    if (request.path() != OriginPath)
        return false;
    auto const question = Serving::decodeStreamBegin(request.body);
    if (!question) {
        writer->respond({.status = BadRequestStatus});
        return true;
    }
    auto const &[stream, asked] = *question;
    if (auto const origin = context_.origins.find(stream))
        writer->respond({.status = FoundStatus, .body = Serving::encodeStreamBegin(stream, *origin)});
    else
        writer->respond({.status = UnknownStatus, .body = Serving::encodeVersions(context_.versions.recorded(asked.pool))});
    return true;
}

} // namespace Anvilyard::Node
