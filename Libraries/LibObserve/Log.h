#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Observe {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/// A numbered entry of the log catalogue (docs/operators/log-catalogue.md).
struct EventDefinition {
    int number = 0;
    Severity severity = Severity::Info;
    std::string_view name;
    std::string_view meaning;
    /// The recommended action for an operator.
    std::string_view action;
};

struct Field {
    std::string_view name;
    std::string value;
};

struct LogOptions {
    /// Path of the log file; standard error if empty.
    std::string file;
    Severity minSeverity = Severity::Info;
};

/// Configures easylogging++. To be called once in main before any thread starts.
void configureLog(LogOptions const &options);

/// Writes one structured line: time, severity, number, name, fields. Safe from any thread. Fields must not contain secrets or
/// request bodies.
void log(EventDefinition const &event, std::initializer_list<Field> fields = {});

using LogSink = std::function<void(EventDefinition const &event, std::initializer_list<Field> fields)>;

/// Redirects the log from easylogging++ to a sink; an empty sink restores easylogging++. To be called while no other thread logs.
void setLogSink(LogSink sink);

/// Returns the events of all components, ordered by number.
std::vector<EventDefinition> const &eventCatalogue();

} // namespace Anvilyard::Observe
