#include "LibPeer/UsageReports.h"

#include "LibPeer/PeerCallsContext.h"
#include "LibPeer/PeerCodecContext.h"
#include "LibPeer/PeerServerContext.h"
#include "peer.grpc.pb.h"

#include <variant>

namespace Anvilyard::Peer {

namespace {

constexpr std::size_t MaxChannels = 64;
constexpr std::size_t MaxCallsInFlightPerPeer = 2;
constexpr auto ReportTimeout = 1s;

using ReportCall = UnaryCall<peer::ReportUsageRequest, peer::ReportUsageReply>;
using ShareReply = std::function<void(std::vector<GrantedShare>)>;

class GrpcUsageReportSender final : public UsageReportSender
{
public:
    explicit GrpcUsageReportSender(std::string const &sharedKey)
        : key_(sharedKey)
        , channels_(MaxChannels)
    {
    }

    ~GrpcUsageReportSender() override
    {
        calls_.cancelAll();
    }

    GrpcUsageReportSender(GrpcUsageReportSender const &) = delete;
    GrpcUsageReportSender &operator=(GrpcUsageReportSender const &) = delete;

    void send(Address const &entryPeer, UsageReport report, ShareReply reply) override
    {
        // The counts are cumulative, so a report skipped while too many calls are in flight is covered by the next one.
        if (!reserveCall(entryPeer))
            return;
        auto call = std::make_shared<ReportCall>();
        if (!calls_.begin(call->context))
            return;
        encode(report, call->request);
        call->channel = channels_.get(entryPeer);
        prepareCall(call->context, key_, readLocalClock() + ReportTimeout, {});
        peer::Limits::Stub stub(call->channel);
        stub.async()->ReportUsage(
            &call->context, &call->request, &call->response, [this, call, entryPeer, reply = std::move(reply)](grpc::Status const &status) {
                onDone(*call, entryPeer, status, reply);
            });
    }

private:
    bool reserveCall(Address const &address)
    {
        std::lock_guard const guard(mutex_);
        auto &inFlight = inFlight_[address];
        if (inFlight >= MaxCallsInFlightPerPeer)
            return false;
        ++inFlight;
        return true;
    }

    void onDone(ReportCall &call, Address const &address, grpc::Status const &status, ShareReply const &reply)
    {
        if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
            channels_.drop(address, call.channel);
        {
            std::lock_guard const guard(mutex_);
            if (auto const inFlight = inFlight_.find(address); --inFlight->second == 0)
                inFlight_.erase(inFlight);
        }
        if (status.ok())
            reply(decode(call.response));
        calls_.end(call.context);
    }

    PeerKey key_;
    PeerChannels channels_;
    std::mutex mutex_;
    std::map<Address, std::size_t> inFlight_;
    PeerCalls calls_;
};

class LimitsService final : public peer::Limits::CallbackService
{
public:
    LimitsService(PeerKey key, std::function<std::vector<GrantedShare>(UsageReport)> onReport)
        : key_(std::move(key))
        , onReport_(std::move(onReport))
    {
    }

    grpc::ServerUnaryReactor *
    ReportUsage(grpc::CallbackServerContext *context, peer::ReportUsageRequest const *request, peer::ReportUsageReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        auto const status = checkKey(*context, key_);
        if (status.ok())
            encode(onReport_(decode(*request)), *reply);
        reactor->Finish(status);
        return reactor;
    }

private:
    PeerKey key_;
    std::function<std::vector<GrantedShare>(UsageReport)> onReport_;
};

class GrpcUsageReportServer final : public UsageReportServer
{
public:
    explicit GrpcUsageReportServer(UsageReportServerOptions options)
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
    LimitsService service_;
    std::unique_ptr<PeerServer> server_;
};

} // namespace

std::unique_ptr<UsageReportSender> UsageReportSender::create(std::string sharedKey)
{
    return std::make_unique<GrpcUsageReportSender>(sharedKey);
}

Result<std::unique_ptr<UsageReportServer>> UsageReportServer::create(UsageReportServerOptions options)
{
    auto const listen = options.listen;
    auto server = std::make_unique<GrpcUsageReportServer>(std::move(options));
    if (auto const outcome = server->listen(listen); !outcome)
        return tl::unexpected(outcome.error());
    return server;
}

} // namespace Anvilyard::Peer
