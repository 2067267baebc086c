#pragma once

#include "LibCore/Ids.h"
#include "LibHttp/HttpClient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Anvilyard::Load {

struct BatchOptions {
    Address submitTo;
    /// Address at which progress is polled; may belong to another instance.
    Address readFrom;
    std::string key;
    std::string model;
    std::uint64_t seed = 1;
    std::uint32_t items = 0;
    std::uint32_t tokens = 32;
    Duration pollInterval = 250ms;
};

struct BatchProgress {
    Duration sinceStart{0};
    std::uint64_t completed = 0;
};

struct BatchResults {
    std::string job;
    /// Empty if the job was accepted.
    std::string error;
    std::vector<BatchProgress> progress;
};

/// Submits one batch job, polls its progress while online requests run, and cancels it at the end.
class BatchJob
{
public:
    BatchJob(Http::EventLoop &loop, Http::HttpClient &client, BatchOptions options);

    /// Must be called on the event loop's thread, which calls `onSubmitted` once the job has been accepted or refused.
    void start(std::function<void()> onSubmitted);
    /// Polls once more, cancels the job and passes the results to `done`.
    void stop(std::function<void(BatchResults)> done);

private:
    using ResponseCallback = std::function<void(int status, std::string body)>;

    void send(Address const &to, std::string method, std::string target, std::string body, ResponseCallback onResponse);
    void submit(std::string const &file);
    void poll(std::function<void()> done);
    void schedulePoll();
    [[nodiscard]] std::string renderItems() const;

    Http::EventLoop &loop_;
    Http::HttpClient &client_;
    BatchOptions options_;
    BatchResults results_;
    Instant started_;
    std::function<void()> onSubmitted_;
    std::unique_ptr<Http::Timer> timer_;
};

} // namespace Anvilyard::Load
