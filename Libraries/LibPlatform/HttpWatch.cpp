#include "LibPlatform/HttpWatch.h"

#include "LibPlatform/ObjectCodec.h"

#include <algorithm>

namespace Anvilyard::Platform {

namespace {

constexpr Duration InitialReopenDelay = 100ms;
constexpr Duration MaxReopenDelay = 5s;
constexpr std::size_t LineLimitBytes = 2UL * 1024 * 1024;
constexpr int Gone = 410;
constexpr int Success = 200;

/// State of a watch that running exchanges and timers refer to. Closed when the watch is destroyed.
class WatchSession : public std::enable_shared_from_this<WatchSession>
{
public:
    explicit WatchSession(HttpWatchOptions options)
        : options_(std::move(options))
        , random_(seedFromSystem())
    {
    }

    void open()
    {
        partial_.clear();
        status_ = 0;
        Http::ClientRequest request{
            .server = options_.platform,
            .request = {.method = "GET",
                        .target = collectionTarget(options_.kind)
                            + "?watch=true&allowWatchBookmarks=true&resourceVersion=" + options_.from.value()},
            .deadline = readLocalClock() + options_.maxDuration,
            .headTimeout = options_.idleTimeout,
            .progressTimeout = options_.idleTimeout,
            .bodyLimitBytes = std::numeric_limits<std::size_t>::max(),
            // An idle connection may be dead, which would delay the first change by the idle timeout.
            .connection = Http::ClientRequest::Connection::FreshOnly,
        };
        auto const weak = weak_from_this();
        exchange_ = options_.client->send(std::move(request),
                                          {
                                              .onHead = [weak](Http::ResponseHead head) { call(weak, &WatchSession::onHead, head); },
                                              .onPiece = [weak](std::string_view piece) { call(weak, &WatchSession::onPiece, piece); },
                                              .onEnd = [weak] { call(weak, &WatchSession::reopenLater); },
                                              .onFailure = [weak](auto const &) { call(weak, &WatchSession::reopenLater); },
                                          });
    }

    void close()
    {
        closed_ = true;
        options_.handlers = {};
        if (auto const exchange = std::exchange(exchange_, nullptr))
            exchange->cancel();
        timer_.reset();
    }

private:
    template<typename Method, typename... Arguments>
    static void call(std::weak_ptr<WatchSession> const &weak, Method method, Arguments &&...arguments)
    {
        if (auto const self = weak.lock(); self && !self->closed_)
            ((*self).*method)(std::forward<Arguments>(arguments)...);
    }

    void onHead(Http::ResponseHead const &head)
    {
        status_ = head.status;
        if (status_ == Gone)
            end(PlatformError::VersionTooOld);
    }

    void onPiece(std::string_view piece)
    {
        if (status_ != Success)
            return;
        partial_ += piece;
        std::size_t start = 0;
        for (auto lineEnd = partial_.find('\n'); lineEnd != std::string::npos; lineEnd = partial_.find('\n', start)) {
            std::string const line = partial_.substr(start, lineEnd - start);
            start = lineEnd + 1;
            if (!processLine(line) || closed_)
                return;
        }
        partial_.erase(0, start);
        if (partial_.size() > LineLimitBytes)
            abandon();
    }

    /// Returns whether the stream can be read further.
    bool processLine(std::string const &text)
    {
        auto line = decodeWatchLine(text);
        if (!line) {
            abandon();
            return false;
        }
        if (line->type == WatchLine::Type::Error) {
            if (line->errorStatus == Gone)
                end(PlatformError::VersionTooOld);
            else
                abandon();
            return false;
        }
        reopenDelay_ = InitialReopenDelay;
        if (!line->object.version.value().empty())
            options_.from = line->object.version;
        // Copied, since the handler may destroy the watch.
        if (auto const onChange = options_.handlers.onChange; onChange && line->type == WatchLine::Type::Change)
            onChange(line->change, std::move(line->object));
        return true;
    }

    /// Drops the current stream because of malformed data. The next stream starts after the last valid line.
    void abandon()
    {
        if (auto const exchange = std::exchange(exchange_, nullptr))
            exchange->cancel();
        reopenLater();
    }

    void reopenLater()
    {
        exchange_.reset();
        // Jitter keeps watches that were cut at the same time from reconnecting at the same time.
        std::uniform_int_distribution<Duration::rep> spread(reopenDelay_.count() / 2, reopenDelay_.count());
        timer_ =
            options_.loop.at(readLocalClock() + Duration(spread(random_)), [weak = weak_from_this()] { call(weak, &WatchSession::open); });
        reopenDelay_ = std::min(reopenDelay_ * 2, MaxReopenDelay);
    }

    void end(PlatformError error)
    {
        auto const onEnd = std::move(options_.handlers.onEnd);
        close();
        if (onEnd)
            onEnd({.code = make_error_code(error), .detail = options_.kind.value()});
    }

    HttpWatchOptions options_;
    RandomSource random_;
    std::shared_ptr<Http::Exchange> exchange_;
    std::unique_ptr<Http::Timer> timer_;
    std::string partial_;
    int status_ = 0;
    bool closed_ = false;
    Duration reopenDelay_ = InitialReopenDelay;
};

class SessionWatch final : public HttpWatch
{
public:
    explicit SessionWatch(HttpWatchOptions options)
        : session_(std::make_shared<WatchSession>(std::move(options)))
    {
        session_->open();
    }

    ~SessionWatch() override
    {
        session_->close();
    }

    SessionWatch(SessionWatch const &) = delete;
    SessionWatch &operator=(SessionWatch const &) = delete;

private:
    std::shared_ptr<WatchSession> session_;
};

} // namespace

std::unique_ptr<HttpWatch> HttpWatch::create(HttpWatchOptions options)
{
    return std::make_unique<SessionWatch>(std::move(options));
}

} // namespace Anvilyard::Platform
