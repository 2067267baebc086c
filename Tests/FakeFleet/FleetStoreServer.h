#pragma once

#include "LibHttp/HttpServer.h"
#include "Tests/Fakes/FaultPlan.h"
#include "Tests/Fakes/ObjectTable.h"

#include <list>
#include <map>
#include <memory>

namespace Anvilyard::Tests {

/// Fake of the users' metadata store, built from its documentation with a separate codec. Everything runs on the given event loop.
class FleetStoreServer
{
public:
    explicit FleetStoreServer(Http::EventLoop &loop);
    FleetStoreServer(FleetStoreServer const &) = delete;
    FleetStoreServer &operator=(FleetStoreServer const &) = delete;

    /// Returns the spec of an object as the callers of a view get it.
    using Rewrite = std::function<std::string(Platform::Kind const &kind, std::string spec)>;

    [[nodiscard]] Address address() const;
    /// Listens at a further address, whose callers get other contents of objects.
    Address addView(Rewrite rewrite);
    [[nodiscard]] ObjectTable &table();
    [[nodiscard]] FaultPlan &faults();
    /// Sets the number of objects per page of a list.
    void setPageSize(std::size_t size);
    /// Number of calls received, by "METHOD kind".
    [[nodiscard]] std::map<std::string, std::size_t> const &calls() const;
    /// Sets whether reads of single objects that may be stale find nothing, as if the copy they read were from before all changes.
    void setStaleCopyEmpty(bool isEmpty);

    /// Writes an object directly, without faults, as the operator and the servers would.
    void put(std::string const &kind, std::string const &name, std::string const &spec);
    void remove(std::string const &kind, std::string const &name);
    /// Discards the history and aborts the pending watches.
    void compact();
    /// Loses the responses to the pending watches of a kind: their connections stay open and return nothing.
    void silenceWatches(Platform::Kind const &kind);
    /// Does not respond to calls for further pages of a list.
    void setFurtherPagesSilent(bool isSilent);
    [[nodiscard]] std::size_t pendingWatches(Platform::Kind const &kind) const;

private:
    using Writer = std::shared_ptr<Http::ResponseWriter>;

    struct Call {
        Http::HttpRequest request;
        Platform::Kind kind;
        Platform::ObjectName name;
        bool isStatus = false;
        Writer writer;
        Rewrite rewrite;
    };

    struct PendingWatch {
        Platform::Kind kind;
        Revision after = 0;
        Writer writer;
        std::shared_ptr<std::unique_ptr<Http::Timer>> timer;
        Rewrite rewrite;
    };

    void handle(Http::HttpRequest request, Writer writer, Rewrite const &rewrite);
    void read(Call const &call);
    void change(Call call);
    void watch(Call const &call);
    [[nodiscard]] Http::HttpResponse apply(Call const &call);
    /// Ends the call if its handling is a fault without a regular response. Returns whether it did.
    bool endIfFaulty(CallHandling handling, Writer const &writer);
    /// Responds to a watch if there are changes or its time has passed. Returns whether it did.
    bool tryAnswer(PendingWatch const &watch, bool isTimeUp);
    void respondToReadyWatches();

    Http::EventLoop &loop_;
    ObjectTable table_;
    FaultPlan faults_;
    std::size_t pageSize_ = 500;
    bool areFurtherPagesSilent_ = false;
    bool isStaleCopyEmpty_ = false;
    std::map<std::string, std::size_t> calls_;
    std::list<PendingWatch> watches_;
    std::list<Writer> unansweredWriters_;
    std::unique_ptr<Http::HttpServer> server_;
    std::vector<std::unique_ptr<Http::HttpServer>> views_;
};

} // namespace Anvilyard::Tests
