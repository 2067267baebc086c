#include "Benchmarks/Batch/EnvironmentProcess.h"

#include "LibHttp/HttpClient.h"
#include "Tests/FakePlatform/FakePlatformServer.h"
#include "Tests/LibHttp/LoopThread.h"
#include "Utilities/FakeEngine/EngineServer.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <unistd.h>

namespace Anvilyard::Benchmarks {

namespace json = boost::json;

namespace {

constexpr Duration PollInterval = 50ms;
constexpr Duration CallTimeout = 600s;

void writeLine(int file, std::string const &line)
{
    auto const text = line + "\n";
    for (std::size_t written = 0; written < text.size();) {
        auto const count = ::write(file, text.data() + written, text.size() - written);
        if (count <= 0)
            std::_Exit(1);
        written += static_cast<std::size_t>(count);
    }
}

std::string readLine(int file)
{
    std::string line;
    for (char letter = 0; ::read(file, &letter, 1) == 1 && letter != '\n';)
        line += letter;
    return line;
}

double secondsSince(Instant start)
{
    return std::chrono::duration<double>(readLocalClock() - start).count();
}

/// Client of the batch interface.
class Client
{
public:
    Client()
    {
        thread_.call([this] { client_ = Http::HttpClient::create(thread_.loop(), {}); });
    }

    ~Client()
    {
        thread_.call([this] { client_.reset(); });
    }

    Client(Client const &) = delete;
    Client &operator=(Client const &) = delete;

    std::string call(std::string const &address, std::string method, std::string target, std::string body = {})
    {
        std::promise<std::string> responseBody;
        thread_.loop().post([&] {
            Http::ClientRequest request{
                .server = Address(address),
                .request = {.method = std::move(method), .target = std::move(target), .body = std::move(body)},
                .deadline = readLocalClock() + CallTimeout,
                .headTimeout = CallTimeout,
                .bodyLimitBytes = 1024UL * 1024 * 1024,
            };
            client_->fetch(std::move(request), [&](auto const &response) {
                if (!response || response->status != 200) {
                    std::fprintf(stderr, "%s\n", response ? response->body.c_str() : response.error().error.toString().c_str());
                    std::_Exit(1);
                }
                responseBody.set_value(response->body);
            });
        });
        return responseBody.get_future().get();
    }

private:
    Tests::LoopThread thread_;
    std::unique_ptr<Http::HttpClient> client_;
};

std::string makeLines(std::uint32_t items)
{
    std::string lines;
    for (std::uint32_t item = 0; item < items; ++item) {
        auto const number = std::to_string(item);
        lines += R"({"custom_id":"loan-)" + number + R"(","method":"POST","url":"/v1/completions","body":{"model":"fault-notes","prompt":)"
            + R"("Summarise the lending record number )" + number + R"( of the branch.","max_tokens":8}})" + "\n";
    }
    return lines;
}

std::string textField(std::string const &body, char const *field)
{
    return std::string(json::parse(body).at(field).as_string());
}

void countCalls(json::object const &calls, ClientReport &report)
{
    for (auto const &kind : calls) {
        for (auto const &verb : kind.value().as_object()) {
            auto const isRead = verb.key() == "get" || verb.key() == "list" || verb.key() == "watch";
            (isRead ? report.storeReads : report.storeWrites) += verb.value().to_number<std::uint64_t>();
        }
    }
}

ClientReport runClient(std::string const &entry, std::string const &platform, std::uint32_t items)
{
    Client client;
    ClientReport report;
    auto const start = readLocalClock();
    auto const file = textField(client.call(entry, "POST", "/v1/files", makeLines(items)), "id");
    auto const request = json::serialize(json::object{{"input_file_id", file}, {"endpoint", "/v1/completions"}});
    auto const job = textField(client.call(entry, "POST", "/v1/batches", request), "id");
    report.submitSeconds = secondsSince(start);
    auto const accepted = readLocalClock();
    std::string status;
    while ((status = client.call(entry, "GET", "/v1/batches/" + job), textField(status, "status") != "completed"))
        ::usleep(static_cast<useconds_t>(PollInterval.count()));
    report.runSeconds = secondsSince(accepted);
    auto const readStart = readLocalClock();
    auto const output = client.call(entry, "GET", "/v1/files/" + textField(status, "output_file_id") + "/content");
    report.readSeconds = secondsSince(readStart);
    report.outputLines = static_cast<std::uint64_t>(std::count(output.begin(), output.end(), '\n'));
    countCalls(json::parse(client.call(platform, "GET", "/control/counters")).at("calls").as_object(), report);
    return report;
}

[[noreturn]] void runEnvironment(int readEnd, int writeEnd, std::size_t engineCount, std::uint32_t items)
{
    Tests::LoopThread platformThread;
    Tests::LoopThread engineThread;
    std::unique_ptr<Tests::FakePlatformServer> platform;
    std::vector<std::unique_ptr<FakeEngine::EngineServer>> engines;
    platformThread.call([&] { platform = std::move(*Tests::FakePlatformServer::create(platformThread.loop(), Address("127.0.0.1:0"))); });
    engineThread.call([&] {
        for (std::size_t index = 0; index < engineCount; ++index)
            engines.push_back(std::move(*FakeEngine::EngineServer::create(engineThread.loop(), {.pace = FakeEngine::Pace::Instant})));
    });
    auto const platformAddress = platform->address().value();
    writeLine(writeEnd, platformAddress);
    for (auto const &engine : engines)
        writeLine(writeEnd, engine->address().value());
    auto const entry = readLine(readEnd);
    auto const report = runClient(entry, platformAddress, items);
    writeLine(writeEnd,
              json::serialize(json::array{
                  report.submitSeconds, report.runSeconds, report.readSeconds, report.outputLines, report.storeWrites, report.storeReads}));
    std::_Exit(0);
}

} // namespace

EnvironmentProcess::EnvironmentProcess(int readEnd, int writeEnd)
    : readEnd_(readEnd)
    , writeEnd_(writeEnd)
{
}

EnvironmentProcess EnvironmentProcess::fork(std::size_t engines, std::uint32_t items)
{
    int toEnvironment[2];
    int fromEnvironment[2];
    if (::pipe(toEnvironment) != 0 || ::pipe(fromEnvironment) != 0)
        std::exit(1);
    if (::fork() == 0)
        runEnvironment(toEnvironment[0], fromEnvironment[1], engines, items);
    ::close(toEnvironment[0]);
    ::close(fromEnvironment[1]);
    EnvironmentProcess environment(fromEnvironment[0], toEnvironment[1]);
    environment.addresses_.platform = readLine(environment.readEnd_);
    for (std::size_t index = 0; index < engines; ++index)
        environment.addresses_.engines.push_back(readLine(environment.readEnd_));
    return environment;
}

EnvironmentAddresses const &EnvironmentProcess::addresses() const
{
    return addresses_;
}

ClientReport EnvironmentProcess::run(Address const &entry)
{
    writeLine(writeEnd_, entry.value());
    auto const line = readLine(readEnd_);
    if (line.empty())
        std::exit(1);
    auto const values = json::parse(line).as_array();
    return {.submitSeconds = values[0].to_number<double>(),
            .runSeconds = values[1].to_number<double>(),
            .readSeconds = values[2].to_number<double>(),
            .outputLines = values[3].to_number<std::uint64_t>(),
            .storeWrites = values[4].to_number<std::uint64_t>(),
            .storeReads = values[5].to_number<std::uint64_t>()};
}

} // namespace Anvilyard::Benchmarks
