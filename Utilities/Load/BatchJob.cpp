#include "Utilities/Load/BatchJob.h"

#include <boost/json.hpp>
#include <utility>

namespace Anvilyard::Load {

namespace {

constexpr int StatusOk = 200;
constexpr Duration CallTimeout = 60s;

std::string readId(std::string const &body)
{
    boost::system::error_code error;
    auto const parsed = boost::json::parse(body, error);
    auto const *id = error || !parsed.is_object() ? nullptr : parsed.as_object().if_contains("id");
    return id == nullptr ? "" : std::string(id->as_string());
}

std::uint64_t readCompleted(std::string const &body)
{
    boost::system::error_code error;
    auto const parsed = boost::json::parse(body, error);
    auto const *completed = error ? nullptr : parsed.find_pointer("/request_counts/completed", error);
    return completed == nullptr ? 0 : completed->to_number<std::uint64_t>();
}

} // namespace

BatchJob::BatchJob(Http::EventLoop &loop, Http::HttpClient &client, BatchOptions options)
    : loop_(loop)
    , client_(client)
    , options_(std::move(options))
{
}

void BatchJob::start(std::function<void()> onSubmitted)
{
    started_ = readLocalClock();
    onSubmitted_ = std::move(onSubmitted);
    send(options_.submitTo, "POST", "/v1/files?filename=load.jsonl", renderItems(), [this](int status, std::string const &body) {
        if (status == StatusOk)
            return submit(readId(body));
        results_.error = "uploading the file failed with status " + std::to_string(status) + ": " + body;
        onSubmitted_();
    });
}

void BatchJob::stop(std::function<void(BatchResults)> done)
{
    timer_.reset();
    if (results_.job.empty())
        return done(std::move(results_));
    poll([this, done = std::move(done)] {
        send(options_.readFrom, "POST", "/v1/batches/" + results_.job + "/cancel", "", [this, done](int, std::string const &) {
            done(std::move(results_));
        });
    });
}

void BatchJob::send(Address const &to, std::string method, std::string target, std::string body, ResponseCallback onResponse)
{
    Http::HttpRequest request{.method = std::move(method), .target = std::move(target), .body = std::move(body)};
    request.headers.set("Content-Type", "application/json");
    request.headers.set("Authorization", "Bearer " + options_.key);
    client_.fetch({.server = to, .request = std::move(request), .deadline = readLocalClock() + CallTimeout},
                  [onResponse = std::move(onResponse)](tl::expected<Http::HttpResponse, Http::ExchangeFailure> response) {
                      if (response)
                          onResponse(response->status, std::move(response->body));
                      else
                          onResponse(0, response.error().error.toString());
                  });
}

void BatchJob::submit(std::string const &file)
{
    boost::json::object const body{{"input_file_id", file}, {"endpoint", "/v1/completions"}, {"completion_window", "24h"}};
    send(options_.submitTo, "POST", "/v1/batches", boost::json::serialize(body), [this](int status, std::string const &responseBody) {
        if (status == StatusOk) {
            results_.job = readId(responseBody);
            schedulePoll();
        } else {
            results_.error = "submitting the job failed with status " + std::to_string(status) + ": " + responseBody;
        }
        onSubmitted_();
    });
}

void BatchJob::poll(std::function<void()> done)
{
    send(options_.readFrom, "GET", "/v1/batches/" + results_.job, "", [this, done = std::move(done)](int status, std::string const &body) {
        if (status == StatusOk)
            results_.progress.push_back({.sinceStart = readLocalClock() - started_, .completed = readCompleted(body)});
        done();
    });
}

void BatchJob::schedulePoll()
{
    timer_ = loop_.at(readLocalClock() + options_.pollInterval, [this] {
        poll([this] {
            if (timer_)
                schedulePoll();
        });
    });
}

std::string BatchJob::renderItems() const
{
    std::string lines;
    for (std::uint32_t item = 0; item < options_.items; ++item) {
        auto const name = std::to_string(options_.seed) + "-" + std::to_string(item);
        boost::json::object const body{{"model", options_.model}, {"prompt", "service history " + name}, {"max_tokens", options_.tokens}};
        lines += boost::json::serialize(
            boost::json::object{{"custom_id", "item-" + name}, {"method", "POST"}, {"url", "/v1/completions"}, {"body", body}});
        lines += '\n';
    }
    return lines;
}

} // namespace Anvilyard::Load
