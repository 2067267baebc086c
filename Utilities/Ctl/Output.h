#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace Anvilyard::Ctl {

/// Prints the result of a command as text, or as one line of JSON for scripts.
class Output
{
public:
    enum class Format {
        Text,
        Json,
    };

    explicit Output(Format format);

    /// Prints a result on standard output.
    void print(boost::json::value const &json, std::string const &text) const;
    /// Prints a refusal or failure: JSON on standard output, text on standard error.
    void fail(boost::json::value const &json, std::string const &text) const;
    void fail(std::string const &message) const;

private:
    Format format_;
};

} // namespace Anvilyard::Ctl
