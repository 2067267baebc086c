#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibObserve/Metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace Anvilyard::Service {

enum class Readiness {
    Starting,
    Ready,
    Leaving,
};

struct AdminServerOptions {
    Address listen;
    Observe::MetricsRegistry *metrics = nullptr;
    /// Returns the JSON text for /status; called on the admin thread.
    std::function<std::string()> status;
};

/// Serves `/healthz`, `/readyz`, `/metrics` and `/status` on a thread of its own.
class AdminServer
{
public:
    static Result<std::unique_ptr<AdminServer>> create(AdminServerOptions options);
    virtual ~AdminServer() = default;
    [[nodiscard]] virtual Address address() const = 0;
    /// Sets the readiness reported by /readyz, which answers 200 only for Ready. Thread-safe.
    virtual void setReadiness(Readiness readiness) = 0;
};

} // namespace Anvilyard::Service
