#include "Utilities/Ctl/EntryAccess.h"

namespace Anvilyard::Ctl {

namespace {

class JobsCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "jobs";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "list a customer's batch jobs through an entry instance";
    }

    [[nodiscard]] bool needsPlatform() const override
    {
        return false;
    }

    [[nodiscard]] std::vector<std::string> requiredOptions() const override
    {
        return {"entry", "key-file"};
    }

    void declareOptions(cxxopts::Options &options) const override
    {
        declareEntry(options);
    }

    ExitCode run(cxxopts::ParseResult const &options, Output const &output) override
    {
        auto const jobs = callEntry(options, "GET", "/v1/batches");
        if (!jobs) {
            output.fail(jobs.error().toString());
            return ExitCode::Failed;
        }
        std::string text;
        auto const *const object = jobs->if_object();
        auto const *const data = object == nullptr ? nullptr : object->if_contains("data");
        if (data != nullptr && data->is_array()) {
            for (auto const &job : data->get_array())
                text += describeJob(job);
        }
        output.print(*jobs, text.empty() ? "no jobs" : text);
        return ExitCode::Done;
    }
};

} // namespace

std::unique_ptr<Command> makeJobsCommand()
{
    return std::make_unique<JobsCommand>();
}

} // namespace Anvilyard::Ctl
