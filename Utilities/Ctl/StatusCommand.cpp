#include "Utilities/Ctl/RulesAccess.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Anvilyard::Ctl {

namespace json = boost::json;

namespace {

std::string_view nameOf(Platform::EndpointState state)
{
    switch (state) {
    case Platform::EndpointState::Ready:
        return "ready";
    case Platform::EndpointState::NotReady:
        return "not ready";
    case Platform::EndpointState::Terminating:
        return "leaving";
    }
    return "";
}

/// Report for both output formats. The command fails if part of it could not be fetched.
struct Report {
    json::object json;
    std::string text;
    bool isComplete = true;

    void addFailure(std::string const &what, std::string const &message)
    {
        isComplete = false;
        json[what + "_error"] = message;
        text += what + ": " + message + "\n";
    }
};

class StatusCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "status";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "show the newest generation, the instance list and the status of programs";
    }

    void declareOptions(cxxopts::Options &options) const override
    {
        options.add_options()("admin",
                              "admin addresses of programs to query, separated by commas",
                              cxxopts::value<std::vector<std::string>>(),
                              "ADDRESS,...");
    }

    ExitCode run(cxxopts::ParseResult const &options, Output const &output) override
    {
        RulesAccess access(platformOf(options));
        Report report;
        addRules(access, report);
        addInstances(access, report);
        if (options.count("admin") > 0)
            addPrograms(access, options["admin"].as<std::vector<std::string>>(), report);
        output.print(report.json, report.text);
        return report.isComplete ? ExitCode::Done : ExitCode::Failed;
    }

private:
    static void addRules(RulesAccess &access, Report &report)
    {
        auto const newest = access.newest();
        if (!newest)
            return report.addFailure("rules", newest.error().toString());
        auto const generation = *newest ? (*newest)->generation.value() : 0;
        report.json["generation"] = generation;
        report.text += "newest rules: generation " + std::to_string(generation);
        if (*newest)
            report.text += " by " + (*newest)->author + " at " + formatTime((*newest)->acceptedAt);
        report.text += "\n";
    }

    static void addInstances(RulesAccess &access, Report &report)
    {
        auto const sets = access.session().instances();
        if (!sets)
            return report.addFailure("instances", sets.error().toString());
        json::object services;
        for (auto const &[service, endpoints] : *sets) {
            json::array listed;
            report.text += service + ":\n";
            for (auto const &endpoint : endpoints) {
                std::string const state(nameOf(endpoint.state));
                listed.push_back({{"id", endpoint.id},
                                  {"address", endpoint.address.value()},
                                  {"data_centre", endpoint.dataCentre.value()},
                                  {"state", state}});
                report.text +=
                    "  " + endpoint.id + "\t" + endpoint.address.value() + "\t" + endpoint.dataCentre.value() + "\t" + state + "\n";
            }
            services[service] = std::move(listed);
        }
        report.json["services"] = std::move(services);
    }

    static void addPrograms(RulesAccess &access, std::vector<std::string> const &addresses, Report &report)
    {
        json::object programs;
        for (auto const &address : addresses) {
            auto const response = access.session().fetch(Address(address), {.method = "GET", .target = "/status"});
            boost::system::error_code notJson;
            auto const status = response ? json::parse(response->body, notJson) : json::value();
            if (!response || notJson || response->status != 200) {
                report.addFailure(address, response ? "status " + std::to_string(response->status) : response.error().toString());
                continue;
            }
            programs[address] = status;
            report.text += address + "\t" + json::serialize(status) + "\n";
        }
        report.json["programs"] = std::move(programs);
    }
};

} // namespace

std::unique_ptr<Command> makeStatusCommand()
{
    return std::make_unique<StatusCommand>();
}

} // namespace Anvilyard::Ctl
