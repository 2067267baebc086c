#include "Services/Node/JobApiHandler.h"

#include "LibJobs/JobsError.h"
#include "LibObserve/Events.h"
#include "Services/Node/NodeRefusals.h"

#include <algorithm>

namespace Anvilyard::Node {

using Platform::CallClass;
using Platform::PlatformError;

namespace {

/// Delay before a store call whose outcome is unknown is repeated. Repeats end at StoreTimeout.
constexpr Duration StoreRetryDelay = 100ms;
/// Time after which a call is refused because the store did not respond. Less than the shortest timeout of batch callers, 4 s.
constexpr Duration StoreTimeout = 3s;
/// A runner in the same region responds within milliseconds unless it keeps the call open for results.
constexpr Duration OwnerConnectTimeout = 250ms;
constexpr Duration OwnerResponseTimeout = 500ms;
constexpr Duration MaxWait = 5s;
/// Within this time a runner has read a stored job and includes its tokens in its reports.
constexpr Duration AcceptedJobRetention = 2s;
constexpr Duration QuotaRetryAfter = 1s;
/// An entry admits a job without calling the admitter while there is room for this many jobs of the same size. No burst brings that
/// many within the tenths of a second before runners have counted them.
constexpr std::uint64_t LocalAdmissionHeadroom = 16;

} // namespace

struct JobApiHandler::Submission {
    JobId id;
    Jobs::StoredJob stored;
    std::optional<CustomerId> customer;
    /// As in AttemptParameters.
    JobCaller caller;
    std::uint64_t tokens = 0;
    std::size_t items = 0;
    Writer writer;
    Instant deadline;
    /// The outcome of a store call is unknown, so a refusal must not state that the job did not run.
    bool isOutcomeUnknown = false;
    /// This submission created the job.
    bool isNew = false;
    std::unique_ptr<Http::Timer> timer;
};

JobApiHandler::JobApiHandler(NodeContext &context, NodeMetrics &metrics)
    : context_(context)
    , metrics_(metrics)
{
}

void JobApiHandler::refuse(JobId const &job, Writer const &writer, Http::Refusal const &refusal)
{
    metrics_.onRefused(refusal.code);
    Observe::log(Observe::Events::NodeJobCallRefused, {{"job", job.value()}, {"reason", refusal.code}, {"detail", refusal.message}});
    writer->respond(Refusals::write(refusal, context_.protocol));
}

std::uint64_t JobApiHandler::expectedWaitingTokens(Instant now)
{
    std::erase_if(accepted_, [&](auto const &entry) { return now - entry.second.at > AcceptedJobRetention; });
    auto sum = context_.peers.waitingTokens(now);
    for (auto const &[job, accepted] : accepted_)
        sum += accepted.tokens;
    return sum;
}

void JobApiHandler::submit(Serving::Route const &route, JobCaller const &caller, Http::HttpRequest const &request, Writer writer)
{
    auto job = context_.protocol.readSubmission(request);
    if (!job)
        return refuse(JobId(), writer, Refusals::badRequest(job.error().detail));
    auto const now = readClocks();
    Jobs::JobRecord record{
        .id = job->id,
        .host = std::string(request.headers.find("Host").value_or("")),
        .acceptedAt = now.wall,
        .customer = caller && !caller->value().empty() ? caller : std::nullopt,
        .items = std::move(job->items),
    };
    auto const submission = std::make_shared<Submission>();
    submission->id = record.id;
    submission->customer = record.customer;
    submission->caller = caller;
    submission->tokens = record.tokens();
    submission->items = record.items.size();
    submission->writer = std::move(writer);
    submission->deadline = now.local + StoreTimeout;
    submission->stored = Jobs::encodeJob(record);
    auto const expected = expectedWaitingTokens(now.local);
    auto const maxWaitingTokens = route.maxWaitingTokens;
    bool const isKnown = accepted_.contains(record.id);
    if (maxWaitingTokens == 0 || isKnown || expected + submission->tokens * LocalAdmissionHeadroom <= maxWaitingTokens)
        return storePart(submission, 0);
    // The limit may have been higher when the job was stored.
    if (submission->tokens > maxWaitingTokens)
        return acknowledgeIfStored(submission, maxWaitingTokens);
    requestAdmission(route, submission);
}

void JobApiHandler::requestAdmission(Serving::Route const &route, std::shared_ptr<Submission> const &submission)
{
    auto const admitter = context_.peers.admitterOf(route.name);
    auto const maxWaitingTokens = route.maxWaitingTokens;
    callPeer(admitter,
             toTarget(PeerAdmission{
                 .job = submission->id, .tokens = submission->tokens, .maxTokens = maxWaitingTokens, .caller = submission->caller}),
             Duration::zero(),
             [this, submission, maxWaitingTokens](std::optional<Http::HttpResponse> answer) {
                 if (answer && answer->status == 200)
                     return storePart(submission, 0);
                 if (answer && answer->status == QuotaFullStatus)
                     return acknowledgeIfStored(submission, maxWaitingTokens);
                 refuse(submission->id, submission->writer, Refusals::quotaUnknown());
             });
}

/// A job that is already stored is acknowledged again, regardless of the limit.
void JobApiHandler::acknowledgeIfStored(std::shared_ptr<Submission> const &submission, std::uint64_t maxWaitingTokens)
{
    context_.store.get(CallClass::Acknowledge,
                       Jobs::jobKind,
                       Jobs::jobObject(submission->id),
                       [this, submission, maxWaitingTokens](Result<Platform::Object> stored) {
                           if (stored)
                               return acknowledgeStored(submission, stored->spec);
                           if (stored.error().code == PlatformError::NotFound)
                               return refuseForQuota(submission, maxWaitingTokens);
                           refuse(submission->id, submission->writer, Refusals::storeOutcomeUnknown());
                       });
}

void JobApiHandler::refuseForQuota(std::shared_ptr<Submission> const &submission, std::uint64_t maxWaitingTokens)
{
    Observe::log(Observe::Events::NodeJobRefused,
                 {{"job", submission->id.value()},
                  {"tokens", std::to_string(submission->tokens)},
                  {"waiting", std::to_string(expectedWaitingTokens(readLocalClock()))},
                  {"most", std::to_string(maxWaitingTokens)}});
    refuse(submission->id, submission->writer, Refusals::overQuota(QuotaRetryAfter));
}

void JobApiHandler::storePart(std::shared_ptr<Submission> const &submission, std::size_t part)
{
    if (part == submission->stored.parts.size())
        return storeJob(submission);
    context_.store.create(CallClass::Acknowledge,
                          Jobs::jobPartKind,
                          Jobs::partObject(submission->id, part),
                          submission->stored.parts[part],
                          [this, submission, part](Result<Platform::Object> created) {
                              // An existing part is the same one, stored by an earlier attempt.
                              if (created || created.error().code == PlatformError::AlreadyExists)
                                  return storePart(submission, part + 1);
                              onStoreError(submission, created.error(), [this, submission, part] { storePart(submission, part); });
                          });
}

void JobApiHandler::storeJob(std::shared_ptr<Submission> const &submission)
{
    context_.store.create(CallClass::Acknowledge,
                          Jobs::jobKind,
                          Jobs::jobObject(submission->id),
                          submission->stored.spec,
                          [this, submission](Result<Platform::Object> created) {
                              submission->isNew = created.has_value();
                              if (created)
                                  return acknowledge(submission);
                              // A repeated submission finds the job stored.
                              if (created.error().code == PlatformError::AlreadyExists)
                                  return acknowledgeStored(submission);
                              if (created.error().code == PlatformError::OutcomeUnknown)
                                  submission->isOutcomeUnknown = true;
                              onStoreError(submission, created.error(), [this, submission] { storeJob(submission); });
                          });
}

void JobApiHandler::onStoreError(std::shared_ptr<Submission> const &submission, Error const &error, std::function<void()> retry)
{
    auto const now = readLocalClock();
    Observe::log(Observe::Events::NodeJobStoreFailed, {{"job", submission->id.value()}, {"error", error.toString()}});
    bool const mayPass = error.code == PlatformError::OutcomeUnknown || error.code == PlatformError::Unavailable
        || error.code == PlatformError::TooManyCalls;
    if (mayPass && submission->isOutcomeUnknown && now + StoreRetryDelay < submission->deadline) {
        submission->timer = context_.loop.at(now + StoreRetryDelay, std::move(retry));
        return;
    }
    refuse(
        submission->id, submission->writer, submission->isOutcomeUnknown ? Refusals::storeOutcomeUnknown() : Refusals::storeUnavailable());
}

void JobApiHandler::acknowledgeStored(std::shared_ptr<Submission> const &submission)
{
    auto const accepted = accepted_.find(submission->id);
    bool const isOwn = accepted != accepted_.end() && accepted->second.customer == submission->customer;
    if (!submission->caller || isOwn)
        return acknowledge(submission);
    context_.store.get(
        CallClass::Acknowledge, Jobs::jobKind, Jobs::jobObject(submission->id), [this, submission](Result<Platform::Object> stored) {
            if (stored)
                return acknowledgeStored(submission, stored->spec);
            refuse(submission->id, submission->writer, Refusals::storeOutcomeUnknown());
        });
}

void JobApiHandler::acknowledgeStored(std::shared_ptr<Submission> const &submission, std::string_view spec)
{
    auto const stored = Jobs::decodeJob(submission->id, spec);
    // The job of another customer would not run for this one.
    if (submission->caller && stored && stored->record.customer && stored->record.customer != submission->customer)
        return refuse(submission->id, submission->writer, Refusals::jobIdInUse());
    acknowledge(submission);
}

void JobApiHandler::acknowledge(std::shared_ptr<Submission> const &submission)
{
    accepted_[submission->id] = {.at = readLocalClock(), .tokens = submission->tokens, .customer = submission->customer};
    metrics_.jobsAccepted.add();
    Observe::log(
        Observe::Events::NodeJobAccepted,
        {{"job", submission->id.value()}, {"items", std::to_string(submission->items)}, {"tokens", std::to_string(submission->tokens)}});
    notifyOwner({.job = submission->id, .event = PeerJobNotice::Event::Accepted, .isNew = submission->isNew});
    submission->writer->respond({.status = 202, .headers = {{"Content-Type", "application/json"}}, .body = "{}"});
}

void JobApiHandler::handle(JobCall const &call, JobCaller const &caller, Writer writer)
{
    std::visit(
        [&](auto const &alternative) {
            if constexpr (std::is_same_v<std::decay_t<decltype(alternative)>, EndJob>)
                endIfAccessible(alternative, caller, std::move(writer));
            else
                read(alternative, caller, std::move(writer));
        },
        call);
}

void JobApiHandler::callOwner(JobId const &job,
                              JobCaller const &caller,
                              std::string target,
                              Duration wait,
                              std::function<void(std::optional<Http::HttpResponse>)> done)
{
    callPeer(context_.peers.ownerOf(job),
             std::move(target),
             wait,
             [isCallerKnown = caller.has_value(), done = std::move(done)](std::optional<Http::HttpResponse> answer) {
                 bool const isChecked = answer && isAccessChecked(*answer);
                 bool const isFound = answer && (answer->status == 200 || answer->status == UnconfirmedStatus);
                 bool const isUsable = isCallerKnown ? isChecked && (isFound || answer->status == ForeignJobStatus) : isFound;
                 // After any other response the entry reads the store.
                 done(isUsable ? std::move(answer) : std::nullopt);
             });
}

/// If the notice is lost, the owner learns of the change from its watch of the store, or of the job when it is read.
void JobApiHandler::notifyOwner(PeerJobNotice const &notice)
{
    callPeer(context_.peers.ownerOf(notice.job), toTarget(notice), Duration::zero(), [](std::optional<Http::HttpResponse> const &) {});
}

void JobApiHandler::callPeer(std::optional<InstanceId> const &id,
                             std::string target,
                             Duration wait,
                             std::function<void(std::optional<Http::HttpResponse>)> done)
{
    auto const peer = id ? context_.peers.addressOf(*id) : std::nullopt;
    if (!peer)
        return done(std::nullopt);
    Http::ClientRequest request{
        .server = *peer,
        .request = {.method = "GET", .target = std::move(target)},
        .deadline = readLocalClock() + wait + OwnerResponseTimeout,
        .connectTimeout = OwnerConnectTimeout,
        .headTimeout = wait + OwnerResponseTimeout,
    };
    context_.peerClient->fetch(std::move(request),
                               [done = std::move(done)](tl::expected<Http::HttpResponse, Http::ExchangeFailure> answer) {
                                   done(answer ? std::optional(std::move(*answer)) : std::nullopt);
                               });
}

void JobApiHandler::read(ReadResults const &call, JobCaller const &caller, Writer writer)
{
    auto const wait = std::min(call.wait, MaxWait);
    callOwner(call.job,
              caller,
              toTarget(PeerReadResults{
                  .job = call.job, .from = call.from, .wait = wait, .runnersHash = context_.peers.runnersHash(), .caller = caller}),
              wait,
              [this, call, caller, writer = std::move(writer)](std::optional<Http::HttpResponse> answer) {
                  if (!answer)
                      return readFromStore(call, caller, writer);
                  if (answer->status == ForeignJobStatus)
                      return refuse(call.job, writer, Refusals::jobNotFound());
                  if (answer->status == UnconfirmedStatus)
                      return confirmNoResults(call, caller, std::move(answer->body), writer);
                  writer->respond({.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = std::move(answer->body)});
              });
}

/// While runners disagree about the owner, each read would otherwise read a job and all its segments from the store. All outcomes before
/// the position are known to the owner, so that the segment that begins there is the only one that can be new.
void JobApiHandler::confirmNoResults(ReadResults const &call, JobCaller const &caller, std::string emptyPage, Writer const &writer)
{
    Jobs::loadSegment(context_.store,
                      call.job,
                      call.from,
                      [this, call, caller, emptyPage = std::move(emptyPage), writer](Result<std::optional<Jobs::ResultSegment>> segment) {
                          if (!segment || *segment)
                              return readFromStore(call, caller, writer);
                          writer->respond({.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = emptyPage});
                      });
}

void JobApiHandler::loadFor(
    JobId const &job, JobCaller const &caller, Jobs::LoadExtent extent, Writer const &writer, std::function<void(Jobs::LoadedJob)> onLoaded)
{
    Jobs::loadJob(context_.store, job, extent, [this, job, caller, writer, onLoaded = std::move(onLoaded)](Result<Jobs::LoadedJob> loaded) {
        if (!loaded && loaded.error().code == Jobs::JobsError::JobNotFound)
            return refuse(job, writer, Refusals::jobNotFound());
        if (!loaded) {
            Observe::log(Observe::Events::NodeJobReadFailed, {{"job", job.value()}, {"error", loaded.error().toString()}});
            return refuse(job, writer, Refusals::storeUnavailable());
        }
        if (!mayAccess(context_.routes.get(), loaded->record, caller))
            return refuse(job, writer, Refusals::jobNotFound());
        onLoaded(std::move(*loaded));
    });
}

void JobApiHandler::readFromStore(ReadResults const &call, JobCaller const &caller, Writer writer)
{
    loadFor(call.job, caller, Jobs::LoadExtent::Full, writer, [this, call, writer](Jobs::LoadedJob job) {
        Jobs::ResultPage page{.total = job.record.items.size(), .next = call.from};
        std::size_t bytes = 0;
        for (auto &segment : job.segments) {
            for (std::size_t index = 0; index < segment.outcomes.size(); ++index) {
                if (segment.first + index != page.next)
                    continue;
                auto &outcome = segment.outcomes[index];
                bytes += outcome.output.size();
                if (bytes > Jobs::MaxPageBytes && !page.outcomes.empty())
                    break;
                page.outcomes.push_back(std::move(outcome));
                ++page.next;
            }
        }
        writer->respond(context_.protocol.writeResults(page));
    });
}

void JobApiHandler::read(ReadItemBody const &call, JobCaller const &caller, Writer writer)
{
    callOwner(
        call.job,
        caller,
        toTarget(PeerReadBody{.job = call.job, .item = call.item, .caller = caller}),
        Duration::zero(),
        [this, call, caller, writer = std::move(writer)](std::optional<Http::HttpResponse> answer) {
            if (!answer)
                return readFromStore(call, caller, writer);
            if (answer->status == ForeignJobStatus)
                return refuse(call.job, writer, Refusals::jobNotFound());
            writer->respond({.status = 200, .headers = {{"Content-Type", "application/octet-stream"}}, .body = std::move(answer->body)});
        });
}

void JobApiHandler::readFromStore(ReadItemBody const &call, JobCaller const &caller, Writer writer)
{
    loadFor(call.job, caller, Jobs::LoadExtent::JobOnly, writer, [this, call, writer](Jobs::LoadedJob job) {
        auto &items = job.record.items;
        auto const item = std::find_if(items.begin(), items.end(), [&](Jobs::JobItem const &known) { return known.id == call.item; });
        if (item == items.end())
            return refuse(call.job, writer, Refusals::itemNotFound());
        writer->respond({.status = 200, .headers = {{"Content-Type", "application/octet-stream"}}, .body = std::move(item->body)});
    });
}

void JobApiHandler::endIfAccessible(EndJob const &call, JobCaller const &caller, Writer writer)
{
    auto const deadline = readLocalClock() + StoreTimeout;
    if (!caller)
        return end(call, std::move(writer), deadline, false);
    callOwner(call.job,
              caller,
              toTarget(PeerJobAccess{.job = call.job, .caller = caller}),
              Duration::zero(),
              [this, call, caller, writer = std::move(writer), deadline](std::optional<Http::HttpResponse> const &answer) {
                  if (answer && answer->status == ForeignJobStatus)
                      return refuse(call.job, writer, Refusals::jobNotFound());
                  if (answer)
                      return end(call, writer, deadline, false);
                  loadFor(call.job, caller, Jobs::LoadExtent::HeadOnly, writer, [this, call, writer, deadline](Jobs::LoadedJob const &) {
                      end(call, writer, deadline, false);
                  });
              });
}

void JobApiHandler::end(EndJob const &call, Writer writer, Instant deadline, bool wasOutcomeUnknown)
{
    context_.statuses.replaceStatus(
        CallClass::Acknowledge,
        Jobs::jobKind,
        Jobs::jobObject(call.job),
        Jobs::encodeEnded(),
        [this, call, writer = std::move(writer), deadline, wasOutcomeUnknown](Result<Platform::Object> replaced) {
            if (replaced) {
                Observe::log(Observe::Events::NodeJobEnded, {{"job", call.job.value()}});
                notifyOwner({.job = call.job, .event = PeerJobNotice::Event::Ended});
                return writer->respond({.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = "{}"});
            }
            auto const &code = replaced.error().code;
            if (code == PlatformError::NotFound)
                return refuse(call.job, writer, Refusals::jobNotFound());
            bool const isOutcomeUnknown = wasOutcomeUnknown || code == PlatformError::OutcomeUnknown;
            auto const now = readLocalClock();
            if (!isOutcomeUnknown || now + StoreRetryDelay >= deadline)
                return refuse(call.job, writer, isOutcomeUnknown ? Refusals::storeOutcomeUnknown() : Refusals::storeUnavailable());
            // Ending a job is idempotent. The timer's callback owns the timer until it has run.
            auto const timer = std::make_shared<std::unique_ptr<Http::Timer>>();
            *timer = context_.loop.at(now + StoreRetryDelay, [this, call, writer, deadline, timer] {
                auto const ownedTimer = std::move(*timer);
                end(call, writer, deadline, true);
            });
        });
}

} // namespace Anvilyard::Node
