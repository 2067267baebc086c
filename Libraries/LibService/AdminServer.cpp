#include "LibService/AdminServer.h"

#include "LibHttp/EventLoop.h"
#include "LibHttp/HttpServer.h"

#include <atomic>
#include <thread>
#include <variant>

namespace Anvilyard::Service {

namespace {

Http::HttpResponse textResponse(int status, std::string type, std::string body)
{
    Http::HttpResponse response;
    response.status = status;
    response.headers.set("Content-Type", std::move(type));
    response.body = std::move(body);
    return response;
}

std::string_view readinessName(Readiness readiness)
{
    switch (readiness) {
    case Readiness::Starting:
        return "starting";
    case Readiness::Ready:
        return "ready";
    case Readiness::Leaving:
        return "leaving";
    }
    return "unknown";
}

class LoopAdminServer final : public AdminServer
{
public:
    explicit LoopAdminServer(AdminServerOptions options)
        : options_(std::move(options))
    {
    }

    ~LoopAdminServer() override
    {
        loop_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    Result<std::monostate> start()
    {
        auto server = Http::HttpServer::create(
            loop_, {.listen = options_.listen}, [this](auto request, auto writer) { writer->respond(answer(request)); });
        if (!server)
            return tl::unexpected(server.error());
        server_ = std::move(*server);
        address_ = server_->address();
        thread_ = std::thread([this] { loop_.run(); });
        return std::monostate{};
    }

    [[nodiscard]] Address address() const override
    {
        return address_;
    }

    void setReadiness(Readiness readiness) override
    {
        readiness_ = readiness;
    }

private:
    [[nodiscard]] Http::HttpResponse answer(Http::HttpRequest const &request) const
    {
        auto const path = request.path();
        if (request.method != "GET")
            return textResponse(405, "text/plain", "only GET is answered here\n");
        if (path == "/healthz")
            return textResponse(200, "text/plain", "ok\n");
        if (path == "/readyz") {
            auto const readiness = readiness_.load();
            return textResponse(readiness == Readiness::Ready ? 200 : 503, "text/plain", std::string(readinessName(readiness)) + "\n");
        }
        if (path == "/metrics")
            return textResponse(200, "text/plain; version=0.0.4", options_.metrics ? options_.metrics->toPrometheusText() : "");
        if (path == "/status")
            return textResponse(200, "application/json", options_.status ? options_.status() : "{}");
        return textResponse(404, "text/plain", "known paths: /healthz /readyz /metrics /status\n");
    }

    AdminServerOptions options_;
    std::atomic<Readiness> readiness_{Readiness::Starting};
    Http::EventLoop loop_;
    std::unique_ptr<Http::HttpServer> server_;
    Address address_;
    std::thread thread_;
};

} // namespace

Result<std::unique_ptr<AdminServer>> AdminServer::create(AdminServerOptions options)
{
    auto server = std::make_unique<LoopAdminServer>(std::move(options));
    if (auto started = server->start(); !started)
        return tl::unexpected(started.error());
    return server;
}

} // namespace Anvilyard::Service
