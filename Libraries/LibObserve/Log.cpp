#include "LibObserve/Log.h"

#include <easylogging++.h>

namespace Anvilyard::Observe {

namespace {

/// Quotes and escapes a value, so that it cannot add lines or fields.
std::string quoted(std::string_view value)
{
    std::string text = "\"";
    for (char const character : value) {
        if (character == '"' || character == '\\')
            text += '\\';
        if (character == '\n')
            text += "\\n";
        else if (static_cast<unsigned char>(character) < 0x20)
            text += ' ';
        else
            text += character;
    }
    return text + '"';
}

LogSink &currentSink()
{
    static LogSink sink;
    return sink;
}

std::string formatLine(EventDefinition const &event, std::initializer_list<Field> fields)
{
    std::string line = "event=" + std::to_string(event.number) + " name=" + std::string(event.name);
    for (auto const &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        line += quoted(field.value);
    }
    return line;
}

} // namespace

void configureLog(LogOptions const &options)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::ToFile, "true");
    // Logging to standard error keeps standard output free for the output of the program.
    configuration.setGlobally(el::ConfigurationType::Filename, options.file.empty() ? "/dev/stderr" : options.file);
    configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, options.minSeverity <= Severity::Debug ? "true" : "false");
    configuration.set(el::Level::Info, el::ConfigurationType::Enabled, options.minSeverity <= Severity::Info ? "true" : "false");
    configuration.set(el::Level::Warning, el::ConfigurationType::Enabled, options.minSeverity <= Severity::Warning ? "true" : "false");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void setLogSink(LogSink sink)
{
    currentSink() = std::move(sink);
}

void log(EventDefinition const &event, std::initializer_list<Field> fields)
{
    if (auto const &sink = currentSink()) {
        sink(event, fields);
        return;
    }
    auto const line = formatLine(event, fields);
    switch (event.severity) {
    case Severity::Debug:
        LOG(DEBUG) << line;
        break;
    case Severity::Info:
        LOG(INFO) << line;
        break;
    case Severity::Warning:
        LOG(WARNING) << line;
        break;
    case Severity::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace Anvilyard::Observe
