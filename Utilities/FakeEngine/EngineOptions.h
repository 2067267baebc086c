#pragma once

#include "LibCore/Ids.h"
#include "Utilities/FakeEngine/ContinuousBatcher.h"
#include "Utilities/FakeEngine/EngineOrders.h"

#include <map>
#include <string>

namespace Anvilyard::FakeEngine {

enum class ServerKind {
    ModelEngine,
    PlainService,
};

enum class Pace {
    /// Simulates the durations of EngineTiming.
    Modelled,
    /// Responds immediately, for measuring the components in front of the engine.
    Instant,
};

struct EngineOptions {
    Address listen{"127.0.0.1:0"};
    ServerKind kind = ServerKind::ModelEngine;
    Pace pace = Pace::Modelled;
    EngineTiming timing;
    std::size_t prefixCacheBlocks = 4096;
    FencingCheck fencing = FencingCheck::Checked;
    std::map<std::string, EngineOrders::Model> models;
    /// Duration of an order to load.
    Duration loadTime{0};
    std::string recordFile;
};

} // namespace Anvilyard::FakeEngine
