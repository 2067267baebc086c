#include "LibPeer/OnlineReports.h"

#include "LibPeer/PeerCallsContext.h"
#include "LibPeer/PeerCodecContext.h"
#include "LibPeer/PeerServerContext.h"
#include "peer.grpc.pb.h"

#include <algorithm>
#include <variant>

namespace Anvilyard::Peer {

namespace {

constexpr std::size_t MaxChannels = 512;
constexpr std::size_t MaxCallsInFlightPerPeer = 4;
constexpr auto ReportTimeout = 1s;

using ReportCall = UnaryCall<peer::ReportOnlineRequest, peer::ReportOnlineReply>;

/// Counts to be sent to one batch process. While all of its calls are in flight, reports are merged by taking the highest
/// counts of each engine.
struct PendingOnlineReport {
    std::size_t inFlight = 0;
    std::uint64_t incarnation = 0;
    InstanceId from;
    std::map<ServerId, OnlineCount> pendingCounts;

    void merge(OnlineReport const &report)
    {
        if (report.processIncarnation != incarnation || report.from != from)
            pendingCounts.clear();
        incarnation = report.processIncarnation;
        from = report.from;
        for (auto const &count : report.counts) {
            auto &latest = pendingCounts.try_emplace(count.server, count).first->second;
            latest.started = std::max(latest.started, count.started);
            latest.finished = std::max(latest.finished, count.finished);
        }
    }

    OnlineReport takeReport()
    {
        OnlineReport report{.from = from, .processIncarnation = incarnation};
        for (auto const &[server, count] : pendingCounts)
            report.counts.push_back(count);
        pendingCounts.clear();
        return report;
    }
};

class GrpcOnlineReportSender final : public OnlineReportSender
{
public:
    explicit GrpcOnlineReportSender(std::string const &sharedKey)
        : key_(sharedKey)
        , channels_(MaxChannels)
    {
    }

    ~GrpcOnlineReportSender() override
    {
        calls_.cancelAll();
    }

    GrpcOnlineReportSender(GrpcOnlineReportSender const &) = delete;
    GrpcOnlineReportSender &operator=(GrpcOnlineReportSender const &) = delete;

    void send(Address const &batchPeer, OnlineReport report) override
    {
        {
            std::lock_guard const guard(mutex_);
            pendingReports_[batchPeer].merge(report);
        }
        sendPending(batchPeer);
    }

private:
    void sendPending(Address const &address)
    {
        auto call = std::make_shared<ReportCall>();
        {
            std::lock_guard const guard(mutex_);
            auto &pending = pendingReports_[address];
            if (pending.pendingCounts.empty() || pending.inFlight >= MaxCallsInFlightPerPeer)
                return;
            ++pending.inFlight;
            encode(pending.takeReport(), call->request);
        }
        if (!calls_.begin(call->context))
            return;
        call->channel = channels_.get(address);
        prepareCall(call->context, key_, readLocalClock() + ReportTimeout, {});
        peer::Gate::Stub stub(call->channel);
        stub.async()->ReportOnline(&call->context, &call->request, &call->response, [this, call, address](grpc::Status const &status) {
            onDone(*call, address, status);
        });
    }

    void onDone(ReportCall &call, Address const &address, grpc::Status const &status)
    {
        if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
            channels_.drop(address, call.channel);
        {
            std::lock_guard const guard(mutex_);
            auto const pending = pendingReports_.find(address);
            --pending->second.inFlight;
            // Owners change over time; entries of idle ones must not accumulate.
            if (pending->second.inFlight == 0 && pending->second.pendingCounts.empty())
                pendingReports_.erase(pending);
        }
        sendPending(address);
        calls_.end(call.context);
    }

    PeerKey key_;
    PeerChannels channels_;
    std::mutex mutex_;
    std::map<Address, PendingOnlineReport> pendingReports_;
    PeerCalls calls_;
};

class GateService final : public peer::Gate::CallbackService
{
public:
    GateService(PeerKey key, std::function<void(OnlineReport)> onReport)
        : key_(std::move(key))
        , onReport_(std::move(onReport))
    {
    }

    grpc::ServerUnaryReactor *
    ReportOnline(grpc::CallbackServerContext *context, peer::ReportOnlineRequest const *request, peer::ReportOnlineReply *) override
    {
        auto *reactor = context->DefaultReactor();
        auto const status = checkKey(*context, key_);
        if (status.ok())
            onReport_(decode(*request));
        reactor->Finish(status);
        return reactor;
    }

private:
    PeerKey key_;
    std::function<void(OnlineReport)> onReport_;
};

class GrpcOnlineReportServer final : public OnlineReportServer
{
public:
    explicit GrpcOnlineReportServer(OnlineReportServerOptions options)
        : service_(PeerKey(options.sharedKey), std::move(options.onReport))
    {
    }

    Result<std::monostate> listen(Address const &address)
    {
        auto server = PeerServer::create(address, service_);
        if (!server)
            return tl::unexpected(server.error());
        server_ = std::move(*server);
        return std::monostate{};
    }

    [[nodiscard]] Address address() const override
    {
        return server_->address();
    }

private:
    GateService service_;
    std::unique_ptr<PeerServer> server_;
};

} // namespace

std::unique_ptr<OnlineReportSender> OnlineReportSender::create(std::string sharedKey)
{
    return std::make_unique<GrpcOnlineReportSender>(sharedKey);
}

Result<std::unique_ptr<OnlineReportServer>> OnlineReportServer::create(OnlineReportServerOptions options)
{
    auto const listen = options.listen;
    auto server = std::make_unique<GrpcOnlineReportServer>(std::move(options));
    if (auto const outcome = server->listen(listen); !outcome)
        return tl::unexpected(outcome.error());
    return server;
}

} // namespace Anvilyard::Peer
