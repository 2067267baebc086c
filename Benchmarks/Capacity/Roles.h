#pragma once

namespace Anvilyard::Benchmarks {

/// Memory and parse time of the rules in force, which every process keeps.
void measureRules();
/// Memory of the entry's state and time of its decisions.
void measureEntry();
/// Memory of the batch process's state and time of its decisions.
void measureBatch();
/// Memory of the agent's state.
void measureAgent();
/// Sizes of the messages between processes.
void measureMessages();

} // namespace Anvilyard::Benchmarks
