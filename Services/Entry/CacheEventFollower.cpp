#include "Services/Entry/CacheEventFollower.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>

namespace Anvilyard::Entry {

namespace {

constexpr Duration InitialReopenDelay = 1s;
/// Also the interval between attempts at an engine that does not publish cache events.
constexpr Duration MaxReopenDelay = 60s;
/// Cache events may be rare, so a connection is reopened only after this long without data.
constexpr Duration MaxSilence = 120s;
constexpr Duration MaxStreamDuration = std::chrono::hours(1);
constexpr std::size_t MaxEventBytes = 1024 * 1024;
constexpr int Ok = 200;
constexpr int HexBase = 16;

std::vector<std::uint64_t> readHashes(boost::json::object const &event, std::string_view key)
{
    std::vector<std::uint64_t> hashes;
    auto const *list = event.if_contains(key);
    if (!list || !list->is_array())
        return hashes;
    for (auto const &value : list->get_array()) {
        if (!value.is_string())
            continue;
        auto const &text = value.get_string();
        std::uint64_t hash = 0;
        auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), hash, HexBase);
        if (error == std::errc() && end == text.data() + text.size())
            hashes.push_back(hash);
    }
    return hashes;
}

} // namespace

std::optional<CacheEvent> parseCacheEvent(std::string_view data)
{
    boost::system::error_code error;
    auto const value = boost::json::parse(data, error);
    auto const *event = error ? nullptr : value.if_object();
    auto const *sequence = event ? event->if_contains("sequence") : nullptr;
    if (!sequence || !sequence->is_int64() || sequence->get_int64() < 0)
        return std::nullopt;
    return CacheEvent{.sequence = static_cast<std::uint64_t>(sequence->get_int64()),
                      .stored = readHashes(*event, "stored"),
                      .removed = readHashes(*event, "removed")};
}

CacheEventFollower::CacheEventFollower(ThreadContext &context, Fleet::BackendServer server, Handlers handlers)
    : context_(context)
    , server_(std::move(server))
    , handlers_(std::move(handlers))
    , reopenDelay_(InitialReopenDelay)
{
    open();
}

CacheEventFollower::~CacheEventFollower()
{
    if (exchange_)
        exchange_->cancel();
}

Fleet::BackendServer const &CacheEventFollower::server() const
{
    return server_;
}

void CacheEventFollower::open()
{
    unfinished_.clear();
    Http::ClientRequest request{
        .server = server_.address,
        .request = {.method = "GET", .target = "/v1/cache-events"},
        .deadline = readLocalClock() + MaxStreamDuration,
        .headTimeout = 5s,
        .progressTimeout = MaxSilence,
        .bodyLimitBytes = std::numeric_limits<std::size_t>::max(),
        .connection = Http::ClientRequest::Connection::FreshOnly,
    };
    exchange_ = context_.client.send(std::move(request),
                                     {
                                         .onHead = [this](Http::ResponseHead const &head) { onHead(head); },
                                         .onPiece = [this](std::string_view piece) { onPiece(piece); },
                                         .onEnd = [this] { scheduleReopen(); },
                                         .onFailure = [this](Http::ExchangeFailure const &) { scheduleReopen(); },
                                     });
}

void CacheEventFollower::onHead(Http::ResponseHead const &head)
{
    reopenDelay_ = head.status == Ok ? InitialReopenDelay : MaxReopenDelay;
}

void CacheEventFollower::scheduleReopen()
{
    exchange_.reset();
    timer_ = context_.loop.at(readLocalClock() + reopenDelay_, [this] { open(); });
    reopenDelay_ = std::min(reopenDelay_ * 2, MaxReopenDelay);
}

void CacheEventFollower::onPiece(std::string_view piece)
{
    static constexpr std::string_view Data = "data: ";
    unfinished_ += piece;
    std::size_t begin = 0;
    for (auto end = unfinished_.find('\n'); end != std::string::npos; end = unfinished_.find('\n', begin)) {
        auto const line = std::string_view(unfinished_).substr(begin, end - begin);
        if (line.starts_with(Data))
            onData(line.substr(Data.size()));
        begin = end + 1;
    }
    unfinished_.erase(0, begin);
    if (unfinished_.size() > MaxEventBytes) {
        exchange_->cancel();
        scheduleReopen();
    }
}

void CacheEventFollower::onData(std::string_view data)
{
    auto const event = parseCacheEvent(data);
    if (!event)
        return;
    // This also detects a restart of the engine, after which its sequence numbers start over.
    if (lastSequence_ && event->sequence != *lastSequence_ + 1)
        handlers_.onGap();
    lastSequence_ = event->sequence;
    handlers_.onEvent(*event);
}

} // namespace Anvilyard::Entry
