#include "Utilities/FakeEngine/RunTable.h"

#include "Tests/Fakes/ExpectedText/ExpectedText.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace Anvilyard::FakeEngine {

namespace {

/// Exit code that a shell reports after SIGKILL.
constexpr int KilledExitCode = 137;

/// Returns a response head with a Content-Length greater than the body. The HTTP server always frames responses correctly, so the
/// wrong length is injected through a header value.
Http::ResponseHead headWithWrongLength()
{
    return {.status = 200, .headers = {{"Content-Type", "application/json"}, {"X-Fault", "length-lie\r\nContent-Length: 100000\r\n\r\n"}}};
}

Http::ResponseHead streamHead()
{
    return {.status = 200, .headers = {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}}};
}

} // namespace

struct RunTable::Run {
    std::uint64_t key = 0;
    CompletionRequest completion;
    RunIdentity identity;
    std::function<std::string(std::string_view)> renderBody;
    CompletionFormat format;
    std::shared_ptr<Http::ResponseWriter> writer;
    std::string text;
    std::uint32_t offset = 0;
    std::uint32_t produced = 0;
    /// Body bytes left to send before a fault aborts the connection. `std::nullopt` without such a fault.
    std::optional<std::size_t> remainingBytes;
    bool hasWrongContentLength = false;
    std::unique_ptr<Http::Timer> delay;
};

RunTable::RunTable(Http::EventLoop &loop, EngineOptions const &options, FaultSwitches &faults, RunRecorder &recorder, Hooks hooks)
    : loop_(loop)
    , options_(options)
    , faults_(faults)
    , recorder_(recorder)
    , hooks_(std::move(hooks))
    , batcher_(options.timing)
    , cache_(options.prefixCacheBlocks)
{
}

RunTable::~RunTable() = default;

void RunTable::start(RunRequest request, std::shared_ptr<Http::ResponseWriter> writer)
{
    recorder_.record(RunEvent::Started, request.identity, 0);
    if (!faults_.dieOn.empty() && request.completion.prompt.find(faults_.dieOn) != std::string::npos)
        std::_Exit(KilledExitCode);
    begin(request, 0, std::move(writer));
    storeForResume(std::move(request));
}

bool RunTable::cancel(std::string const &id)
{
    auto const key = runKeysById_.find(id);
    if (key == runKeysById_.end())
        return false;
    auto const writer = runs_.at(key->second)->writer;
    end(key->second, RunEvent::Cancelled);
    writer->abort();
    return true;
}

bool RunTable::resume(std::string const &id, std::uint32_t offset, std::shared_ptr<Http::ResponseWriter> writer)
{
    auto const found = resumable_.find(id);
    if (found == resumable_.end() || offset > found->second.completion.tokens)
        return false;
    // The caller has lost the earlier stream, but this engine may not have detected the closed connection yet.
    cancel(id);
    auto request = found->second;
    request.completion.delivery = Delivery::Stream;
    recorder_.record(RunEvent::Resumed, request.identity, offset);
    begin(request, offset, std::move(writer));
    return true;
}

void RunTable::setSlowness(double factor)
{
    batcher_.setSlowness(factor);
}

EngineLoadReport RunTable::load() const
{
    return {.running = batcher_.running(), .waiting = batcher_.waiting()};
}

EngineTotals RunTable::totals() const
{
    return totals_;
}

void RunTable::begin(RunRequest const &request, std::uint32_t offset, std::shared_ptr<Http::ResponseWriter> writer)
{
    auto const key = nextKey_++;
    auto const run = std::make_shared<Run>(Run{.key = key,
                                               .completion = request.completion,
                                               .identity = request.identity,
                                               .renderBody = request.renderBody,
                                               .format = CompletionFormat(request.completion, request.identity.id),
                                               .writer = std::move(writer),
                                               .offset = offset,
                                               .produced = offset});
    if (faults_.closeEarly.take())
        run->remainingBytes = faults_.closeAfterBytes;
    run->hasWrongContentLength = run->completion.delivery == Delivery::Full && faults_.lengthLie.take();
    runs_.emplace(key, run);
    runKeysById_[run->identity.id] = key;
    run->writer->onCallerGone([this, key, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            end(key, RunEvent::Cancelled);
    });
    if (faults_.late.take())
        run->delay = loop_.at(readLocalClock() + faults_.lateBy, [this, key] { admit(key); });
    else
        admit(key);
}

void RunTable::admit(std::uint64_t key)
{
    auto const run = runs_.at(key);
    if (run->completion.delivery == Delivery::Stream)
        run->writer->start(streamHead());
    if (options_.pace == Pace::Instant || run->produced >= run->completion.tokens)
        return runImmediately(*run);
    batcher_.admit({.key = key,
                    .uncachedPromptTokens = uncachedPromptTokens(run->completion.prompt),
                    .firstToken = run->produced,
                    .tokens = run->completion.tokens},
                   readLocalClock());
    schedule();
}

void RunTable::schedule()
{
    auto const next = batcher_.nextEvent();
    if (next && timerDeadline_ == next)
        return;
    timerDeadline_ = next;
    timer_ = next ? loop_.at(*next, [this] { advance(); }) : nullptr;
}

void RunTable::advance()
{
    timerDeadline_.reset();
    for (auto const &token : batcher_.advance(readLocalClock()))
        deliver(token);
    schedule();
}

void RunTable::deliver(ProducedToken const &token)
{
    auto const found = runs_.find(token.key);
    if (found == runs_.end())
        return;
    auto const run = found->second;
    auto const text = Fakes::expectedToken(run->completion.prompt, token.index);
    run->produced = token.index + 1;
    if (run->completion.delivery == Delivery::Stream)
        send(*run, run->format.tokenEvent(text, token.index));
    else
        run->text += text;
    if (token.position == ProducedToken::Position::Last && runs_.contains(token.key))
        finish(*run);
}

void RunTable::finish(Run &run)
{
    auto const writer = run.writer;
    auto const tokens = run.completion.tokens;
    if (run.completion.delivery == Delivery::Stream) {
        send(run, run.format.endEvents(tokens - run.offset));
        if (!runs_.contains(run.key))
            return;
        end(run.key, RunEvent::Finished);
        return writer->finish();
    }
    auto body = run.renderBody ? run.renderBody(run.text) : run.format.fullResponse(run.text, tokens);
    if (run.hasWrongContentLength || run.remainingBytes) {
        writer->start(headWithWrongLength());
        run.remainingBytes = std::min(run.remainingBytes.value_or(body.size()), body.size() - 1);
        return send(run, std::move(body));
    }
    end(run.key, RunEvent::Finished);
    writer->respond({.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = std::move(body)});
}

void RunTable::send(Run &run, std::string piece)
{
    if (!run.remainingBytes || *run.remainingBytes >= piece.size()) {
        if (run.remainingBytes)
            *run.remainingBytes -= piece.size();
        return run.writer->write(std::move(piece), nullptr);
    }
    piece.resize(*run.remainingBytes);
    auto const writer = run.writer;
    end(run.key, RunEvent::Broken);
    writer->write(std::move(piece), [writer](Http::WriteOutcome) { writer->abort(); });
}

void RunTable::end(std::uint64_t key, RunEvent event)
{
    auto const found = runs_.find(key);
    if (found == runs_.end())
        return;
    auto const run = found->second;
    runs_.erase(found);
    if (auto const byId = runKeysById_.find(run->identity.id); byId != runKeysById_.end() && byId->second == key)
        runKeysById_.erase(byId);
    batcher_.cancel(key);
    bool const hasText = event == RunEvent::Finished && !run->renderBody && recorder_.isRecording();
    auto const text = hasText ? Fakes::expectedText(run->completion.prompt, run->completion.tokens) : std::string();
    recorder_.record(event, run->identity, run->produced, text);
    totals_.tokens += run->produced - run->offset;
    if (event == RunEvent::Finished)
        ++totals_.finished;
}

void RunTable::runImmediately(Run &run)
{
    std::string events;
    for (auto index = run.produced; index < run.completion.tokens; ++index) {
        auto const text = Fakes::expectedToken(run.completion.prompt, index);
        if (run.completion.delivery == Delivery::Stream)
            events += run.format.tokenEvent(text, index);
        run.text += text;
    }
    run.produced = run.completion.tokens;
    if (!events.empty())
        send(run, std::move(events));
    if (runs_.contains(run.key))
        finish(run);
}

void RunTable::storeForResume(RunRequest request)
{
    auto id = request.identity.id;
    resumable_.emplace(id, std::move(request));
    resumableOrder_.push_back(std::move(id));
    if (resumableOrder_.size() <= MaxResumableRequests)
        return;
    resumable_.erase(resumableOrder_.front());
    resumableOrder_.pop_front();
}

std::uint32_t RunTable::uncachedPromptTokens(std::string const &prompt)
{
    auto const hashes = PrefixCache::blockHashes(prompt);
    auto const cachedBytes = cache_.cachedBlocks(hashes) * PrefixCache::BlockBytes;
    if (auto const change = cache_.insert(hashes); hooks_.onCacheChange && !(change.stored.empty() && change.removed.empty()))
        hooks_.onCacheChange(change);
    return countPromptTokens(std::string_view(prompt).substr(cachedBytes));
}

} // namespace Anvilyard::FakeEngine
