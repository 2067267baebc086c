#include "LibJobs/Base64.h"
#include "Tests/NodeProcesses/ServingFleet.h"

#include <algorithm>
#include <boost/json.hpp>
#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace json = boost::json;

namespace {

using ResponseForm = ModelServer::ResponseForm;
using Requests = std::vector<Http::HttpRequest>;
using Entries = std::vector<NodeProcess *>;

/// The platform's bound on how long instances may take to learn of something.
constexpr Duration ContactTime = 2s;
/// A request that has crashed this number of servers may reach MaxArrivalsAfterBound more, later than ContactTime after the last of them.
constexpr std::size_t CrashesBeforeBound = 3;
constexpr std::size_t MaxArrivalsAfterBound = 3;
constexpr std::size_t ServerCount = 8;
/// Number of rounds of requests in which sound ones have to be served.
constexpr std::size_t LateRounds = 12;
constexpr Duration RoundInterval = 50ms;
/// Time after which entries have found servers that were started again.
constexpr Duration RestartInterval = 500ms;

ServingFleet::Parts const sharedParts = {"a1", "b1"};

struct SoundResponse {
    Instant sentAt;
    Instant answeredAt;
    /// Empty if there was no complete response.
    std::optional<int> status;
    std::string body;
};

bool isServed(SoundResponse const &response)
{
    return response.status == 200;
}

/// Whether the request is taken for the cause of crashes.
bool isBlamed(SoundResponse const &response)
{
    return (response.status == 503 || response.status == 429) && response.body.find("quarantined") != std::string::npos;
}

bool isRefused(SoundResponse const &response)
{
    return response.status == 503 || response.status == 429;
}

std::ptrdiff_t count(std::vector<SoundResponse> const &responses, bool (*predicate)(SoundResponse const &))
{
    return std::ranges::count_if(responses, predicate);
}

class CrashingRequestTest : public ::testing::Test
{
protected:
    /// Starts servers, a runner and entries, and checks that sound requests are served.
    void startFleet(std::size_t entryCount)
    {
        fleet_.startServers(ServerCount, ResponseForm::Whole);
        fleet_.startServers(ServerCount, ResponseForm::EventStream);
        fleet_.startNode("runner-1", Serving::InstanceRole::Runner);
        for (std::size_t number = 1; number <= entryCount; ++number)
            entries_.push_back(&fleet_.startNode("entry-" + std::to_string(number)));
        for (auto const *entry : entries_)
            fleet_.waitUntilReady(*entry);
        expectAllSoundAreServed(entries_);
    }

    /// Returns a request of a route, without a prompt. Requests with equal arguments are equal in what comes again.
    [[nodiscard]] static Http::HttpRequest
    plain(std::string const &target, std::string const &body, std::string const &caller = "Bearer c1")
    {
        auto request = ServingFleet::plainRequest(target, body);
        request.headers.set("Authorization", caller);
        return request;
    }

    /// Returns a request for a stream whose prompt consists of shared parts and one of its own.
    Http::HttpRequest stream(std::string const &target, std::string const &body)
    {
        auto request = plain(target, body);
        auto const prompt = fleet_.promptHeaders(sharedParts);
        for (auto const &field : prompt.fields())
            request.headers.append(field);
        return request;
    }

    /// Sends sound and crashing requests to each entry at once and waits for all responses. Sound ones are sent before and after each
    /// crashing one, so that they share servers with it.
    void sendRound(Entries const &entries, Requests const &crashing, std::size_t copies = 1)
    {
        std::vector<std::future<ServingFleet::Answer>> crashingAnswers;
        std::vector<std::future<ServingFleet::Answer>> soundAnswers;
        auto const sentAt = readLocalClock();
        for (auto const *entry : entries) {
            for (std::size_t index = 0; index < std::max(sound_.size(), crashing.size()); ++index) {
                if (index < sound_.size())
                    soundAnswers.push_back(fleet_.sendAgain(*entry, sound_[index]));
                for (std::size_t copy = 0; index < crashing.size() && copy < copies; ++copy)
                    crashingAnswers.push_back(fleet_.sendAgain(*entry, crashing[index]));
            }
        }
        for (auto &answer : crashingAnswers)
            answer.wait();
        for (auto &future : soundAnswers) {
            auto const answer = future.get();
            responses_.push_back({.sentAt = sentAt,
                                  .answeredAt = readLocalClock(),
                                  .status = answer ? std::optional(answer->status) : std::nullopt,
                                  .body = answer ? answer->body : ""});
        }
    }

    /// Sends sound requests only. All of them must be served.
    void expectAllSoundAreServed(Entries const &entries)
    {
        auto const first = static_cast<std::ptrdiff_t>(responses_.size());
        for (std::size_t round = 0; round < LateRounds; ++round)
            sendRound(entries, {});
        expectAllServed({responses_.begin() + first, responses_.end()});
    }

    static void expectAllServed(std::vector<SoundResponse> const &responses)
    {
        auto const served = count(responses, isServed);
        auto const failed = std::ranges::find_if_not(responses, isServed);
        EXPECT_EQ(served, std::ssize(responses))
            << "sound requests; the first that was not served: "
            << (failed == responses.end() ? "" : std::to_string(failed->status.value_or(0)) + " " + failed->body);
    }

    /// Sends rounds until each request has crashed three servers, or has come a number of times.
    void crashServers(Requests const &crashing, Entries const &entries)
    {
        for (auto const &request : crashing)
            fleet_.addCrashingRequest(request, moment_);
        constexpr int MaxRounds = 40;
        auto const isEnough = [this](Http::HttpRequest const &request) { return fleet_.crashes(request).size() >= CrashesBeforeBound; };
        for (int round = 0; round < MaxRounds && !std::ranges::all_of(crashing, isEnough); ++round) {
            sendRound(entries, crashing);
            fleet_.waitUntilServersAreUp();
            fleet_.waitUntil(readLocalClock() + RoundInterval);
        }
        ASSERT_FALSE(fleet_.crashes().empty());
    }

    /// Like crashServers(), but begins with requests for all servers at once, so that no server is spared by the evidence of another one.
    void crashServersAtOnce(Http::HttpRequest const &request, NodeProcess &entry)
    {
        fleet_.addCrashingRequest(request, moment_);
        sendRound({&entry}, {request}, 3 * ServerCount);
        fleet_.waitUntilServersAreUp();
        crashServers({request}, {&entry});
    }

    /// When one of the requests crashed a server for the third time, or for the last time if there are fewer crashes. Returns the latest.
    Instant lastBoundingCrash(Requests const &crashing)
    {
        Instant last;
        for (auto const &request : crashing) {
            // Requests that were always lost with others have crashed no server.
            if (auto const crashes = fleet_.crashes(request); !crashes.empty())
                last = std::max(last, crashes.at(std::min(crashes.size(), CrashesBeforeBound) - 1));
        }
        return last;
    }

    /// Checks how many of the request reached servers later than ContactTime after the third crash.
    void expectFewArrivals(Http::HttpRequest const &request)
    {
        auto const crashes = fleet_.crashes(request);
        if (crashes.size() < CrashesBeforeBound)
            return;
        auto const arrivals = fleet_.arrivals(request);
        auto const bound = lastBoundingCrash({request}) + ContactTime;
        auto const late = std::ranges::count_if(arrivals, [&](Instant at) { return at > bound; });
        EXPECT_LE(late, MaxArrivalsAfterBound) << "requests for " << request.target << " that reached servers later than "
                                               << ContactTime / 1ms << " ms after the third crash; " << crashes.size() << " crashes in all";
    }

    /// Whether no server was down, or back for less than ContactTime, while the request was open.
    bool metAllServers(SoundResponse const &response)
    {
        return std::ranges::none_of(fleet_.crashes(),
                                    [&](Instant at) { return at > response.sentAt - ContactTime && at < response.answeredAt; });
    }

    /// Sends crashing and sound requests for a while from now, and then checks both: few crashing ones reached servers, and those sound
    /// ones that were sent later than 2 x ContactTime after the third crash were served.
    void expectFewArrivalsAndSoundRequestsServed(Requests const &crashing, Entries const &entries)
    {
        std::size_t lateRounds = 0;
        while (lateRounds < LateRounds) {
            auto const isLate = readLocalClock() > lastBoundingCrash(crashing) + 2 * ContactTime;
            sendRound(entries, crashing);
            lateRounds += isLate ? 1 : 0;
            fleet_.waitUntil(readLocalClock() + RoundInterval);
        }
        auto const bound = lastBoundingCrash(crashing) + 2 * ContactTime;
        std::vector<SoundResponse> late;
        std::vector<SoundResponse> undisturbed;
        for (auto const &response : responses_) {
            if (response.sentAt <= bound)
                continue;
            late.push_back(response);
            if (metAllServers(response))
                undisturbed.push_back(response);
        }
        EXPECT_GE(2 * count(late, isServed), std::ssize(late)) << count(late, isServed) << " sound requests were served";
        EXPECT_EQ(count(late, isBlamed), 0) << "of " << late.size() << " sound requests were taken for the cause";
        expectAllServed(undisturbed);
        for (auto const &request : crashing)
            expectFewArrivals(request);
        fleet_.setBehaviour({});
        // The crashing requests leave nothing behind that keeps sound ones from servers.
        fleet_.waitUntilServersAreUp();
        fleet_.waitUntil(readLocalClock() + ContactTime);
        expectAllSoundAreServed(entries);
    }

    struct Item {
        std::string id;
        std::string target;
        std::string body;
    };

    static constexpr std::size_t SoundItems = 8;

    /// Submits sound items, which are the same in each job except for their ids, and others.
    void submit(NodeProcess const &entry, std::string const &job, std::vector<Item> const &others = {})
    {
        std::vector<Item> items;
        for (std::size_t index = 0; index < SoundItems; ++index) {
            auto const number = std::to_string(index);
            items.push_back({.id = "sound-" + job + "-" + number, .target = "/b/" + number, .body = "sound"});
        }
        items.insert(items.end(), others.begin(), others.end());
        json::array array;
        for (auto const &item : items) {
            json::object headers;
            auto const prompt = fleet_.promptHeaders(sharedParts);
            for (auto const &header : prompt.fields())
                headers[header.name] = header.value;
            array.push_back(json::object{{"id", item.id},
                                         {"path", item.target},
                                         {"headers", std::move(headers)},
                                         {"body", Jobs::encodeBase64(item.body)},
                                         {"tokens", 300}});
        }
        auto const answer = fleet_
                                .send(entry,
                                      {.method = "POST",
                                       .target = "/b/1",
                                       .headers = {{"Host", "h.example"}, {"Anvilyard-Attempt-Id", job}},
                                       .body = json::serialize(json::object{{"items", std::move(array)}})})
                                .get();
        ASSERT_TRUE(answer);
        ASSERT_EQ(answer->status, 202) << answer->body;
        items_[job] = items.size();
    }

    json::array readResults(NodeProcess const &entry, std::string const &job)
    {
        auto const answer =
            fleet_.send(entry, {.method = "GET", .target = "/api/lots/" + job + "?after=0", .headers = {{"Host", "h.example"}}}).get();
        if (!answer || answer->status != 200)
            return {};
        return json::parse(answer->body).as_object().at("results").as_array();
    }

    /// Waits until no item of the job is open. The sound ones must be completed.
    void expectJobEnds(NodeProcess const &entry, std::string const &job)
    {
        json::array results;
        constexpr int MaxReads = 300;
        for (int read = 0; read < MaxReads && results.size() < items_.at(job); ++read) {
            fleet_.waitUntil(readLocalClock() + 100ms);
            results = readResults(entry, job);
        }
        EXPECT_EQ(results.size(), items_.at(job)) << "results of the job " << job;
        for (auto const &result : results) {
            auto const &fields = result.as_object();
            if (fields.at("id").as_string().starts_with("sound-")) {
                EXPECT_EQ(fields.at("state").as_string(), "completed") << fields.at("id").as_string();
            }
        }
    }

    ServingFleet fleet_;
    Entries entries_;
    /// Number of items by job.
    std::map<std::string, std::size_t> items_;
    /// They come again at every entry in each round.
    Requests sound_;
    std::vector<SoundResponse> responses_;
    ServingFleet::CrashMoment moment_ = ServingFleet::CrashMoment::BeforeResponse;
};

/// Requests without a prompt, with whole responses.
class WholeRequestTest : public CrashingRequestTest
{
protected:
    void SetUp() override
    {
        // Each has something in common with the crashing one.
        sound_ = {plain("/q/1", "sound"), plain("/q/crash", "sound"), plain("/q/1", "crash"), plain("/q/crash", "crash", "Bearer c2")};
    }

    Http::HttpRequest const crashing_ = plain("/q/crash", "crash");
};

/// Requests with prompts, for event streams. All shared parts of the prompts are the same.
class StreamTest : public CrashingRequestTest
{
protected:
    void SetUp() override
    {
        sound_ = {stream("/s/1", "sound"), stream("/s/crash", "sound"), stream("/s/1", "crash"), stream("/s/2", "sound")};
    }

    Http::HttpRequest const crashing_ = stream("/s/crash", "crash");
};

class NonIdempotentRequestTest : public CrashingRequestTest
{
protected:
    void SetUp() override
    {
        sound_ = {plain("/u/1", "sound"), plain("/u/crash", "sound"), plain("/u/1", "crash"), plain("/q/2", "sound")};
    }

    Http::HttpRequest const crashing_ = plain("/u/crash", "crash");
};

/// Jobs beside online requests. Items and online requests of the route "/b/online/" can be equal.
class JobTest : public CrashingRequestTest
{
protected:
    void SetUp() override
    {
        sound_ = {stream("/s/1", "sound"), stream("/b/online/1", "sound"), plain("/q/1", "sound")};
    }
};

/// Requests that are never the cause of crashes, of all kinds.
class SoundRequestTest : public CrashingRequestTest
{
protected:
    void SetUp() override
    {
        sound_ = {plain("/q/1", "sound"), plain("/q/2", "sound"), plain("/u/1", "sound"), stream("/s/1", "sound"), stream("/s/2", "sound")};
        startFleet(3);
    }

    /// Sends rounds of sound requests, the same each time, and submits jobs with equal items in the first rounds.
    void sendRounds(std::size_t rounds, std::function<void()> const &beforeRound)
    {
        for (std::size_t round = 0; round < rounds; ++round) {
            beforeRound();
            if (round < Jobs)
                submit(*entries_[round % entries_.size()], "job-" + std::to_string(round));
            sendRound(entries_, {});
            fleet_.waitUntilServersAreUp();
        }
        for (std::size_t job = 0; job < Jobs; ++job)
            expectJobEnds(*entries_[0], "job-" + std::to_string(job));
        EXPECT_EQ(count(responses_, isRefused), 0) << "of " << responses_.size() << " sound requests were refused";
        fleet_.setBehaviour({});
        fleet_.waitUntilServersAreUp();
        fleet_.waitUntil(readLocalClock() + ContactTime);
        expectAllSoundAreServed(entries_);
    }

    static constexpr std::size_t Jobs = 4;
};

} // namespace

/// Guards against a request that ends server after server because each entry sends it anew, each time to as many servers as its route
/// allows.
TEST_F(WholeRequestTest, EntriesStopSendingARequestThatCrashedServersOfOtherEntries)
{
    startFleet(4);
    crashServers({crashing_}, {entries_[0], entries_[1]});
    expectFewArrivalsAndSoundRequestsServed({crashing_}, entries_);
}

/// Guards against crashes that are not counted because the server returns under its old id.
TEST_F(WholeRequestTest, EntriesStopSendingARequestWhoseServersReturnUnderTheirIds)
{
    fleet_.setIdAfterCrash(ServingFleet::IdAfterCrash::Same);
    startFleet(3);
    crashServers({crashing_}, {entries_[0]});
    expectFewArrivalsAndSoundRequestsServed({crashing_}, entries_);
}

/// The quarantine ends at each entry, and then the request comes at all of them at once. Guards against a trial by each of them, which
/// cannot have heard of the others'.
TEST_F(WholeRequestTest, EntriesSendOneTrialOfARequestThatComesAtAllOfThem)
{
    constexpr Duration QuarantineTime = 10s;
    /// Over which the entries spread the end.
    constexpr Duration ExpirySpread = QuarantineTime;
    startFleet(6);
    crashServers({crashing_}, {entries_[0]});
    fleet_.waitUntil(fleet_.crashes().back() + QuarantineTime + ExpirySpread + ContactTime);
    auto const arrivals = fleet_.arrivals(crashing_).size();
    sendRound(entries_, {crashing_});
    EXPECT_LE(fleet_.arrivals(crashing_).size(), arrivals + 1);
}

/// Guards against a crashing request with a prompt that is not found because all shared parts of its prompt are answered in other requests.
TEST_F(StreamTest, EntriesStopSendingAStreamWhosePartsAreAllAnswered)
{
    startFleet(4);
    crashServers({crashing_}, {entries_[0], entries_[1]});
    expectFewArrivalsAndSoundRequestsServed({crashing_}, entries_);
}

/// Guards against a stream that is taken for answered because its first event came before the crash.
TEST_F(StreamTest, EntriesStopSendingAStreamThatCrashesAfterItsFirstEvent)
{
    moment_ = ServingFleet::CrashMoment::AfterFirstEvent;
    startFleet(4);
    crashServers({crashing_}, {entries_[0], entries_[1]});
    expectFewArrivalsAndSoundRequestsServed({crashing_}, entries_);
}

/// Guards against entries that were down while the request crashed servers and have to lose servers of their own to it.
TEST_F(WholeRequestTest, RestartedEntriesDoNotSendARequestThatCrashedServersMeanwhile)
{
    startFleet(3);
    Entries const restarted{entries_[1], entries_[2]};
    for (auto *entry : restarted)
        entry->kill();
    crashServersAtOnce(crashing_, *entries_[0]);
    for (auto *entry : restarted)
        entry->start();
    for (auto const *entry : restarted)
        fleet_.waitUntilReady(*entry);
    fleet_.waitUntil(readLocalClock() + ContactTime);
    expectFewArrivalsAndSoundRequestsServed({crashing_}, restarted);
}

/// Guards against entries that were paused while the request crashed servers and never learn of it.
TEST_F(WholeRequestTest, PausedEntriesDoNotSendARequestThatCrashedServersMeanwhile)
{
    startFleet(3);
    Entries const paused{entries_[1], entries_[2]};
    for (auto *entry : paused)
        entry->pause();
    crashServersAtOnce(crashing_, *entries_[0]);
    for (auto *entry : paused)
        entry->resume();
    fleet_.waitUntil(std::max(readLocalClock(), lastBoundingCrash({crashing_})) + ContactTime);
    expectFewArrivalsAndSoundRequestsServed({crashing_}, paused);
}

/// Guards against several crashing requests of which some are not found because the others are lost with them.
TEST_F(WholeRequestTest, EntriesStopSendingEightRequestsThatCrashServersAtOnce)
{
    startFleet(4);
    Requests crashing;
    constexpr int Distinct = 8;
    for (int number = 0; number < Distinct; ++number)
        crashing.push_back(plain("/q/crash-" + std::to_string(number), "crash"));
    crashServers(crashing, entries_);
    expectFewArrivalsAndSoundRequestsServed(crashing, entries_);
}

/// The servers run such a request for a while before they crash, so that others that began later are lost with it sooner. Guards against
/// taking only these for the cause.
TEST_F(WholeRequestTest, EntriesStopSendingSixRequestsThatCrashServersAfterAWhile)
{
    fleet_.setPromptTime(120ms);
    startFleet(4);
    Requests crashing;
    constexpr int Distinct = 6;
    for (int number = 0; number < Distinct; ++number)
        crashing.push_back(plain("/q/crash-" + std::to_string(number), "crash"));
    crashServers(crashing, entries_);
    expectFewArrivalsAndSoundRequestsServed(crashing, entries_);
}

/// Guards against a crashing request that is not found, or sound ones that are blamed, because servers crash for another reason meanwhile.
TEST_F(WholeRequestTest, EntriesStopSendingARequestThatCrashesServersBesideOtherCrashes)
{
    startFleet(4);
    constexpr int RunsPerCrash = 40;
    fleet_.setBehaviour([number = std::make_shared<int>(0)](ModelServer &server, std::shared_ptr<ModelServer::Run> const &run) {
        if (++*number % RunsPerCrash == 0)
            return server.crash();
        server.complete(run);
    });
    crashServers({crashing_}, entries_);
    expectFewArrivalsAndSoundRequestsServed({crashing_}, entries_);
}

/// Guards against a request that runs once for each attempt of its client, and ends a server each time.
TEST_F(NonIdempotentRequestTest, EntriesStopSendingANonIdempotentRequestThatCrashedServers)
{
    startFleet(4);
    crashServers({crashing_}, {entries_[0], entries_[1]});
    expectFewArrivalsAndSoundRequestsServed({crashing_}, entries_);
}

/// Guards against an item that ends server after server, in another job or online too, against sound items that are lost with it, and
/// against a job that stays open because of it.
TEST_F(JobTest, ItemsThatCrashServersStopReachingThemAndAllJobsEnd)
{
    startFleet(3);
    auto const online = ServingFleet::plainRequest("/b/online/crash", "crash");
    auto const item = [&](std::string const &id) { return Item{.id = id, .target = online.target, .body = online.body}; };
    fleet_.addCrashingRequest(online);
    submit(*entries_[0], "first", {item("crashing-first")});
    fleet_.waitUntilCrashed(online);
    crashServers({online}, {entries_[0]});
    fleet_.waitUntil(lastBoundingCrash({online}) + ContactTime);
    submit(*entries_[1], "second", {item("crashing-second")});
    expectFewArrivalsAndSoundRequestsServed({online}, entries_);
    expectJobEnds(*entries_[0], "first");
    expectJobEnds(*entries_[2], "second");
    expectFewArrivals(online);
}

/// Guards against refusals of sound requests that come again and are lost with several servers, which crash for another reason.
TEST_F(SoundRequestTest, ServersThatCrashInSeriesForAnotherReasonCauseNoRefusals)
{
    constexpr std::size_t Rounds = 12;
    constexpr int CrashesPerRound = 2;
    sendRounds(Rounds, [this] {
        fleet_.setBehaviour(
            [crashes = std::make_shared<std::map<ResponseForm, int>>()](ModelServer &server, std::shared_ptr<ModelServer::Run> const &run) {
                if ((*crashes)[server.form()]++ < CrashesPerRound)
                    return server.crash();
                server.complete(run);
            });
    });
}

/// Guards against refusals of sound requests whose responses were lost though the server runs on.
TEST_F(SoundRequestTest, LostResponsesCauseNoRefusals)
{
    constexpr std::size_t Rounds = 30;
    auto const number = std::make_shared<int>(0);
    sendRounds(Rounds, [&] {
        fleet_.setBehaviour([number](ModelServer &server, std::shared_ptr<ModelServer::Run> const &run) {
            if (++*number % 4 == 0)
                return server.cut(run);
            server.complete(run);
        });
    });
}

/// Guards against a sound request that is refused because its responses are always lost though the servers run on.
TEST_F(SoundRequestTest, ResponsesOfOneRequestThatAreAlwaysLostCauseNoRefusals)
{
    constexpr std::size_t Rounds = 30;
    fleet_.setBehaviour([](ModelServer &server, std::shared_ptr<ModelServer::Run> const &run) {
        if (run->request.target == "/q/1" || run->request.target == "/s/1")
            return server.cut(run);
        server.complete(run);
    });
    sendRounds(Rounds, [] {});
}

/// Guards against sound requests that are refused for minutes because they have come again while each server crashed, for another reason,
/// on whatever it ran first.
TEST_F(SoundRequestTest, SoundRequestsAreServedAgainAfterAllServersHaveCrashedSeveralTimes)
{
    constexpr std::size_t Rounds = 5;
    fleet_.setBehaviour([](ModelServer &server, std::shared_ptr<ModelServer::Run> const &) { server.crash(); });
    for (std::size_t round = 0; round < Rounds; ++round) {
        sendRound(entries_, {});
        fleet_.waitUntilServersAreUp();
        fleet_.waitUntil(readLocalClock() + RestartInterval);
    }
    fleet_.setBehaviour({});
    constexpr std::size_t MaxRounds = 300;
    bool areAllServed = false;
    for (std::size_t round = 0; round < MaxRounds && !areAllServed; ++round) {
        auto const first = std::ssize(responses_);
        sendRound(entries_, {});
        areAllServed = std::all_of(responses_.begin() + first, responses_.end(), isServed);
        fleet_.waitUntil(readLocalClock() + RoundInterval);
    }
    expectAllSoundAreServed(entries_);
}
