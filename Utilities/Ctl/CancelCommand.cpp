#include "Utilities/Ctl/EntryAccess.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/pchars.hpp>

namespace Anvilyard::Ctl {

namespace {

class CancelCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "cancel";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "cancel a batch job through an entry instance";
    }

    [[nodiscard]] std::vector<std::string> arguments() const override
    {
        return {"job"};
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
        auto const id = boost::urls::encode(options["job"].as<std::string>(), boost::urls::pchars);
        auto const job = callEntry(options, "POST", "/v1/batches/" + id + "/cancel");
        if (!job) {
            output.fail(job.error().toString());
            return ExitCode::Failed;
        }
        output.print(*job, describeJob(*job));
        return ExitCode::Done;
    }
};

} // namespace

std::unique_ptr<Command> makeCancelCommand()
{
    return std::make_unique<CancelCommand>();
}

} // namespace Anvilyard::Ctl
