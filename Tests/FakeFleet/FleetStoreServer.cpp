#include "Tests/FakeFleet/FleetStoreServer.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

namespace Anvilyard::Tests {

namespace json = boost::json;
using Platform::Kind;
using Platform::Object;
using Platform::ObjectName;
using Platform::PlatformError;

namespace {

json::object encode(Object const &object)
{
    return {
        {"metadata",
         json::object{{"name", object.name.value()},
                      {"revision", std::stoull(object.version.value())},
                      {"createRevision", 1},
                      {"finalizers", json::array{}},
                      {"deleting", false}}},
        {"spec", object.spec.empty() ? json::value() : json::parse(object.spec)},
        {"status", object.status.empty() ? json::value() : json::parse(object.status)},
    };
}

Object rewritten(Object object, Kind const &kind, FleetStoreServer::Rewrite const &rewrite)
{
    if (rewrite)
        object.spec = rewrite(kind, std::move(object.spec));
    return object;
}

Http::HttpResponse responseOf(int status, json::value const &body = json::object{})
{
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = json::serialize(body)};
}

int statusOf(std::error_code const &code)
{
    if (code == PlatformError::NotFound)
        return 404;
    if (code == PlatformError::VersionTooOld)
        return 410;
    if (code == PlatformError::ValueTooLarge)
        return 413;
    return 409;
}

Http::HttpResponse responseOf(Result<Object> const &result)
{
    return result ? responseOf(200, encode(*result)) : responseOf(statusOf(result.error().code));
}

} // namespace

FleetStoreServer::FleetStoreServer(Http::EventLoop &loop)
    : loop_(loop)
{
    server_ =
        std::move(*Http::HttpServer::create(loop, {.listen = Address("127.0.0.1:0")}, [this](Http::HttpRequest request, Writer writer) {
            handle(std::move(request), std::move(writer), nullptr);
        }));
}

Address FleetStoreServer::addView(Rewrite rewrite)
{
    views_.push_back(std::move(*Http::HttpServer::create(
        loop_, {.listen = Address("127.0.0.1:0")}, [this, rewrite = std::move(rewrite)](Http::HttpRequest request, Writer writer) {
            handle(std::move(request), std::move(writer), rewrite);
        })));
    return views_.back()->address();
}

Address FleetStoreServer::address() const
{
    return server_->address();
}

ObjectTable &FleetStoreServer::table()
{
    return table_;
}

FaultPlan &FleetStoreServer::faults()
{
    return faults_;
}

void FleetStoreServer::setPageSize(std::size_t size)
{
    pageSize_ = size;
}

std::map<std::string, std::size_t> const &FleetStoreServer::calls() const
{
    return calls_;
}

void FleetStoreServer::setStaleCopyEmpty(bool isEmpty)
{
    isStaleCopyEmpty_ = isEmpty;
}

void FleetStoreServer::put(std::string const &kind, std::string const &name, std::string const &spec)
{
    if (auto known = table_.get(Kind(kind), ObjectName(name))) {
        known->spec = spec;
        static_cast<void>(table_.update(Kind(kind), std::move(*known)));
    } else {
        static_cast<void>(table_.create(Kind(kind), ObjectName(name), spec));
    }
    respondToReadyWatches();
}

void FleetStoreServer::remove(std::string const &kind, std::string const &name)
{
    static_cast<void>(table_.remove(Kind(kind), ObjectName(name), {}));
    respondToReadyWatches();
}

void FleetStoreServer::compact()
{
    table_.compact();
    for (auto const &watch : std::exchange(watches_, {}))
        watch.writer->abort();
}

void FleetStoreServer::silenceWatches(Kind const &kind)
{
    std::erase_if(watches_, [&](PendingWatch const &watch) {
        if (watch.kind != kind)
            return false;
        unansweredWriters_.push_back(watch.writer);
        return true;
    });
}

void FleetStoreServer::setFurtherPagesSilent(bool isSilent)
{
    areFurtherPagesSilent_ = isSilent;
}

std::size_t FleetStoreServer::pendingWatches(Kind const &kind) const
{
    return static_cast<std::size_t>(
        std::count_if(watches_.begin(), watches_.end(), [&](PendingWatch const &watch) { return watch.kind == kind; }));
}

void FleetStoreServer::handle(Http::HttpRequest request, Writer writer, Rewrite const &rewrite)
{
    // "/api/objects/KIND[/NAME[/status]]"
    std::istringstream path{std::string(request.path())};
    std::vector<std::string> segments;
    for (std::string segment; std::getline(path, segment, '/');)
        segments.push_back(segment);
    if (segments.size() < 4 || segments[1] != "api" || segments[2] != "objects")
        return writer->respond(responseOf(404));
    Call call{.request = std::move(request), .kind = Kind(segments[3]), .writer = std::move(writer), .rewrite = rewrite};
    if (segments.size() > 4)
        call.name = ObjectName(segments[4]);
    call.isStatus = segments.size() == 6 && segments[5] == "status";
    ++calls_[call.request.method + " " + call.kind.value()];
    if (call.request.method != "GET")
        return change(std::move(call));
    if (call.request.query("watch"))
        return watch(call);
    read(call);
}

bool FleetStoreServer::endIfFaulty(CallHandling handling, Writer const &writer)
{
    switch (handling) {
    case CallHandling::Refuse:
        writer->respond(responseOf(503));
        return true;
    case CallHandling::RefuseForRate:
        writer->respond(responseOf(429));
        return true;
    case CallHandling::Cut:
        writer->abort();
        return true;
    case CallHandling::Silent:
        unansweredWriters_.push_back(writer);
        return true;
    default:
        return false;
    }
}

void FleetStoreServer::read(Call const &call)
{
    if (endIfFaulty(faults_.nextHandling(CallKind::Read), call.writer))
        return;
    if (!call.name.value().empty()) {
        bool const mayBeStale = call.request.query("allowStale") == "1";
        Result<Object> object = mayBeStale && isStaleCopyEmpty_ ? failure(PlatformError::NotFound) : table_.get(call.kind, call.name);
        if (object)
            *object = rewritten(std::move(*object), call.kind, call.rewrite);
        return call.writer->respond(responseOf(object));
    }
    auto const all = table_.list(call.kind, {.limit = 100'000});
    auto const after = call.request.query("after").value_or("");
    if (areFurtherPagesSilent_ && !after.empty())
        return unansweredWriters_.push_back(call.writer);
    json::array items;
    bool hasMore = false;
    for (auto const &object : all->objects) {
        if (object.name.value() <= after)
            continue;
        hasMore = items.size() == pageSize_;
        if (hasMore)
            break;
        items.push_back(encode(rewritten(object, call.kind, call.rewrite)));
    }
    call.writer->respond(responseOf(200, json::object{{"items", std::move(items)}, {"more", hasMore}, {"at", table_.revision()}}));
}

void FleetStoreServer::change(Call call)
{
    auto const handling = faults_.nextHandling(CallKind::Change);
    if (endIfFaulty(handling, call.writer))
        return;
    if (handling == CallHandling::ApplyLate) {
        // The change is applied after the caller has given up.
        auto const writer = call.writer;
        writer->onCallerGone([this, call = std::move(call)] {
            static_cast<void>(apply(call));
            respondToReadyWatches();
        });
        unansweredWriters_.push_back(writer);
        return;
    }
    auto response = apply(call);
    if (handling == CallHandling::LoseAnswer)
        call.writer->abort();
    else
        call.writer->respond(std::move(response));
    respondToReadyWatches();
}

Http::HttpResponse FleetStoreServer::apply(Call const &call)
{
    if (call.request.method == "DELETE") {
        auto const removed = table_.remove(call.kind, call.name, Platform::ResourceVersion(call.request.query("revision").value_or("")));
        return removed ? responseOf(200) : responseOf(statusOf(removed.error().code));
    }
    boost::system::error_code error;
    auto const parsed = json::parse(call.request.body, error);
    if (error)
        return responseOf(400);
    auto const &body = parsed.as_object();
    auto const &metadata = body.at("metadata").as_object();
    if (call.request.method == "POST") {
        return responseOf(
            table_.create(call.kind, ObjectName(std::string(metadata.at("name").as_string())), json::serialize(body.at("spec"))));
    }
    auto known = table_.get(call.kind, call.name);
    if (!known)
        return responseOf(404);
    if (auto const *revision = metadata.if_contains("revision");
        revision && std::to_string(revision->to_number<Revision>()) != known->version.value())
        return responseOf(409, encode(*known));
    auto &text = call.isStatus ? known->status : known->spec;
    auto replacement = json::serialize(body.at(call.isStatus ? "status" : "spec"));
    // An update that changes nothing creates no revision.
    if (text == replacement)
        return responseOf(200, encode(*known));
    text = std::move(replacement);
    return responseOf(table_.update(call.kind, std::move(*known)));
}

void FleetStoreServer::watch(Call const &call)
{
    if (endIfFaulty(faults_.nextHandling(CallKind::Read), call.writer))
        return;
    auto const after = ObjectTable::parseRevision(call.request.query("watch").value_or(""));
    if (!after)
        return call.writer->respond(responseOf(400));
    PendingWatch pendingWatch{.kind = call.kind,
                              .after = *after,
                              .writer = call.writer,
                              .timer = std::make_shared<std::unique_ptr<Http::Timer>>(),
                              .rewrite = call.rewrite};
    if (tryAnswer(pendingWatch, false))
        return;
    auto const wait = std::chrono::milliseconds(std::stoll(call.request.query("waitMs").value_or("0")));
    *pendingWatch.timer = loop_.at(readLocalClock() + wait, [this, writer = call.writer] {
        std::erase_if(watches_, [&](PendingWatch const &known) { return known.writer == writer && tryAnswer(known, true); });
    });
    watches_.push_back(std::move(pendingWatch));
}

bool FleetStoreServer::tryAnswer(PendingWatch const &watch, bool isTimeUp)
{
    json::array events;
    auto at = watch.after;
    for (;;) {
        auto const change = table_.nextChange(watch.kind, at);
        if (!change) {
            watch.writer->respond(responseOf(410));
            return true;
        }
        if (!*change)
            break;
        at = (*change)->revision;
        events.push_back(json::object{{"deleted", (*change)->change == Platform::WatchChange::Deleted},
                                      {"object", encode(rewritten((*change)->object, watch.kind, watch.rewrite))}});
    }
    if (events.empty() && !isTimeUp)
        return false;
    watch.writer->respond(responseOf(200, json::object{{"events", std::move(events)}, {"at", table_.revision()}}));
    return true;
}

void FleetStoreServer::respondToReadyWatches()
{
    std::erase_if(watches_, [this](PendingWatch const &watch) { return tryAnswer(watch, false); });
}

} // namespace Anvilyard::Tests
