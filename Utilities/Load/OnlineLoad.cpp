#include "Utilities/Load/OnlineLoad.h"

#include "Tests/Fakes/ExpectedText/ExpectedText.h"

#include <boost/json.hpp>
#include <utility>

namespace Anvilyard::Load {

struct OnlineLoad::Request {
    StreamedCompletion completion;
    Instant plannedArrival;
    Duration offset{0};
    int status = 0;
    bool hasEnded = false;
};

OnlineLoad::OnlineLoad(Http::EventLoop &loop, Http::HttpClient &client, OnlineOptions options)
    : loop_(loop)
    , client_(client)
    , options_(std::move(options))
    , arrivals_(planArrivals(options_.arrivals))
{
}

void OnlineLoad::start(std::function<void(OnlineResults)> done)
{
    done_ = std::move(done);
    started_ = readLocalClock();
    results_.started = started_;
    endTimer_ = loop_.at(started_ + options_.arrivals.runDuration, [this] {
        isArrivalTimeOver_ = true;
        finishIfDone();
    });
    scheduleNext();
}

void OnlineLoad::scheduleNext()
{
    timer_ = nextArrival_ < arrivals_.size() ? loop_.at(started_ + arrivals_[nextArrival_], [this] { sendDue(); }) : nullptr;
}

void OnlineLoad::sendDue()
{
    auto const now = readLocalClock();
    while (nextArrival_ < arrivals_.size() && started_ + arrivals_[nextArrival_] <= now)
        send(nextArrival_++);
    scheduleNext();
}

void OnlineLoad::send(std::size_t number)
{
    auto const prompt = makePrompt(options_.prompts, options_.arrivals.seed, number);
    auto const request = std::make_shared<Request>(Request{.completion = StreamedCompletion(Fakes::expectedText(prompt, options_.tokens)),
                                                           .plannedArrival = started_ + arrivals_[number],
                                                           .offset = arrivals_[number]});
    boost::json::object const body{{"model", options_.model}, {"prompt", prompt}, {"max_tokens", options_.tokens}, {"stream", true}};
    Http::HttpRequest http{.method = "POST", .target = "/v1/completions", .body = boost::json::serialize(body)};
    http.headers.set("Content-Type", "application/json");
    if (!options_.key.empty())
        http.headers.set("Authorization", "Bearer " + options_.key);
    ++inFlight_;
    ++results_.requests;
    client_.send({.server = options_.targets[number % options_.targets.size()],
                  .request = std::move(http),
                  .deadline = readLocalClock() + options_.timeout},
                 {.onHead = [request](Http::ResponseHead head) { request->status = head.status; },
                  .onPiece = [request](std::string_view piece) { request->completion.onPiece(piece, readLocalClock()); },
                  .onEnd =
                      [this, request] {
                          request->hasEnded = true;
                          end(*request);
                      },
                  .onFailure = [this, request](Http::ExchangeFailure const &) { end(*request); }});
}

void OnlineLoad::end(Request const &request)
{
    recordVerdict(request);
    results_.tokens += request.completion.tokens();
    auto const now = readLocalClock();
    if (auto const first = request.completion.firstToken(); first && request.offset >= options_.warmUp) {
        results_.firstToken.record(*first - request.plannedArrival);
        results_.requestDuration.record(now - request.plannedArrival);
        for (auto const gap : request.completion.gaps())
            results_.betweenTokens.record(gap);
    }
    --inFlight_;
    finishIfDone();
}

void OnlineLoad::recordVerdict(Request const &request)
{
    constexpr int StatusOk = 200;
    if (request.status == 0)
        ++results_.failed;
    else if (request.status != StatusOk)
        ++results_.refused[request.status];
    else if (auto const verdict = request.completion.verdict(); verdict == StreamedCompletion::Verdict::Mismatched)
        ++results_.mismatched;
    else if (verdict == StreamedCompletion::Verdict::ErrorEvent)
        ++results_.errorEvents;
    else if (verdict == StreamedCompletion::Verdict::Truncated || !request.hasEnded)
        ++results_.truncated;
    else
        ++results_.complete;
}

void OnlineLoad::finishIfDone()
{
    if (!isArrivalTimeOver_ || nextArrival_ < arrivals_.size() || inFlight_ > 0 || !done_)
        return;
    results_.runDuration = readLocalClock() - started_;
    std::exchange(done_, nullptr)(std::move(results_));
}

} // namespace Anvilyard::Load
