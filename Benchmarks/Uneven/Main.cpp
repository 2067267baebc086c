// Measures how evenly online requests are distributed over servers of uneven and changing speed when the load at the servers is known late:
// without their statements of speed, with them, and with complete knowledge.

#include "Tests/LibServing/UnevenServersReplay.h"

#include <boost/json.hpp>
#include <iostream>

using namespace Anvilyard;
using Testing::UnevenServersOptions;
using Choice = UnevenServersOptions::Choice;

int main()
{
    auto const print = [](char const *choice, UnevenServersOptions const &options) {
        auto const result = Testing::replayUnevenServers(options);
        boost::json::object const figure{
            {"bench", "uneven"},
            {"choice", choice},
            {"choosers", options.choosers},
            {"load", options.load},
            {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(options.loadAge).count()},
            {"load_variance", result.loadVariance},
            {"p99_wait_s", result.p99WaitSeconds},
            {"on_time", result.onTime},
            {"late", result.late},
            {"refused", result.refused},
        };
        std::cout << boost::json::serialize(figure) << std::endl;
    };
    for (auto const load : {0.6, 0.85, 1.3}) {
        print("oracle", {.load = load, .choice = Choice::Oracle});
        for (auto const choosers : {9, 60, 300}) {
            for (Duration const age : {0ms, 150ms, 500ms}) {
                UnevenServersOptions options{.choosers = static_cast<std::size_t>(choosers), .load = load, .loadAge = age};
                options.choice = Choice::WithoutPace;
                print("without_pace", options);
                options.choice = Choice::WithPace;
                print("with_pace", options);
                options.statesPermanentSpeed = false;
                print("with_pace_slowdowns_only", options);
            }
        }
    }
}
