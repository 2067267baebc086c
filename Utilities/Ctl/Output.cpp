#include "Utilities/Ctl/Output.h"

#include <boost/json/serialize.hpp>
#include <iostream>

namespace Anvilyard::Ctl {

namespace {

void write(std::ostream &stream, std::string const &text)
{
    stream << text;
    if (!text.empty() && text.back() != '\n')
        stream << '\n';
}

} // namespace

Output::Output(Format format)
    : format_(format)
{
}

void Output::print(boost::json::value const &json, std::string const &text) const
{
    write(std::cout, format_ == Format::Json ? boost::json::serialize(json) : text);
}

void Output::fail(boost::json::value const &json, std::string const &text) const
{
    if (format_ == Format::Json)
        write(std::cout, boost::json::serialize(json));
    else
        write(std::cerr, "anvilyardctl: " + text);
}

void Output::fail(std::string const &message) const
{
    fail(boost::json::object{{"outcome", "failed"}, {"message", message}}, message);
}

} // namespace Anvilyard::Ctl
