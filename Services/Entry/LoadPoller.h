#pragma once

#include "LibRouting/ServerChooser.h"
#include "Services/Entry/ThreadContext.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Anvilyard::Entry {

/// Parses an engine's model list into names of the form "model" and "model@version". Returns `std::nullopt` if the list is invalid or
/// empty, which allows no conclusion about the engine's models.
std::optional<std::set<std::string>> parseModels(std::string_view json);

/// Polls the load of the servers that this instance sends to, and the models of engines. Polls one server after the other at a bounded
/// rate, on one traffic thread.
class LoadPoller
{
public:
    struct Handlers {
        std::function<void(PoolName const &, ServerId const &, Routing::LoadReport const &)> onLoad;
        std::function<void(PoolName const &, ServerId const &, std::set<std::string> const &)> onModels;
    };

    LoadPoller(ThreadContext &context, double pollsPerSecond, Handlers handlers);
    ~LoadPoller();
    LoadPoller(LoadPoller const &) = delete;
    LoadPoller &operator=(LoadPoller const &) = delete;

private:
    void scheduleNext();
    [[nodiscard]] bool isModelEngine(Fleet::BackendServer const &server) const;
    void pollNext();
    void pollLoad(Fleet::BackendServer const &server);
    void pollModels(Fleet::BackendServer const &server);
    void fetch(Fleet::BackendServer const &server, std::string target, std::function<void(LoadPoller &, std::optional<std::string>)> done);
    void onFailure(Fleet::BackendServer const &server, Http::ExchangeFailure const &failure);
    void startRound();
    [[nodiscard]] std::optional<Fleet::BackendServer> nextServer();

    ThreadContext &context_;
    Duration interval_;
    Handlers handlers_;
    std::uint64_t rounds_ = 0;
    std::vector<Fleet::BackendServer> round_;
    /// Time of the next load poll of servers that do not publish their load.
    std::map<ServerId, Instant> skipUntil_;
    std::unique_ptr<Http::Timer> timer_;
    std::shared_ptr<LoadPoller *> self_;
};

} // namespace Anvilyard::Entry
