#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpServer.h"
#include "LibObserve/Metrics.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRules/RuleSet.h"

#include <functional>
#include <memory>
#include <optional>

namespace Anvilyard::Batch {

struct JobApiOptions {
    Http::EventLoop &loop;
    Platform::ObjectStore &store;
    Observe::MetricsRegistry &metrics;
    /// Returns the rules currently in effect.
    std::function<std::shared_ptr<Rules::RuleSet const>()> rules;
    /// Called after a job was accepted or cancelled, so that batch processes can be notified.
    std::function<void()> onJobsChanged;
};

/// The batch part of the interface for callers: /v1/files and /v1/batches. The entry service has authenticated the caller before.
class JobApi
{
public:
    static std::unique_ptr<JobApi> create(JobApiOptions options);
    virtual ~JobApi() = default;

    [[nodiscard]] static bool handles(std::string_view path);
    virtual void handle(CustomerId customer, Http::HttpRequest request, std::shared_ptr<Http::ResponseWriter> writer) = 0;
    /// Returns a sink for the body of an upload, or `std::nullopt` if this request's body is not streamed.
    virtual std::optional<Http::BodySink>
    streamBody(CustomerId customer, Http::HttpRequest const &head, std::shared_ptr<Http::ResponseWriter> const &writer) = 0;
};

} // namespace Anvilyard::Batch
