#pragma once

#include "LibCore/Random.h"
#include "LibHttp/EventLoop.h"
#include "LibPlatform/ObjectStore.h"

#include <functional>
#include <map>
#include <memory>

namespace Anvilyard::Batch {

enum class CreateOutcome {
    Created,
    /// An object of that name exists. After a lost reply, it may have been created by an earlier try of the same call.
    Existed,
};

struct NewObject {
    Platform::CallClass callClass = Platform::CallClass::Acknowledge;
    Platform::Kind kind;
    Platform::ObjectName name;
    std::string spec;
};

struct StoreCallerOptions {
    Http::EventLoop &loop;
    Platform::ObjectStore &store;
    RandomSource random;
    std::uint32_t attempts = 4;
    Duration initialDelay = 50ms;
};

/// Makes store calls on behalf of a waiting caller. Retries a few times with exponential, jittered backoff, then reports the last
/// error. A create whose reply was lost is tried again, which shows whether the object was created.
class StoreCaller : public std::enable_shared_from_this<StoreCaller>
{
public:
    explicit StoreCaller(StoreCallerOptions options);

    void create(NewObject object, Platform::Reply<CreateOutcome> reply);
    void get(Platform::Kind kind, Platform::ObjectName name, Platform::Reply<Platform::Object> reply);
    void list(Platform::Kind kind, Platform::ListOptions options, Platform::Reply<Platform::ObjectList> reply);
    /// Replaces the object if it has this version. Not retried: a lost reply is reported as such.
    void update(Platform::Kind kind, Platform::Object object, Platform::Reply<Platform::Object> reply);
    /// Removes the object regardless of its version. Not retried.
    void remove(Platform::Kind kind, Platform::ObjectName name, std::function<void(Result<std::monostate>)> done);

    [[nodiscard]] Http::EventLoop &loop();
    RandomSource &random();

private:
    template<typename Value>
    using Call = std::function<void(Platform::Reply<Value>)>;

    template<typename Value>
    void callWithRetries(Call<Value> call, std::uint32_t attempt, Platform::Reply<Value> reply);
    void runAfter(Duration delay, std::function<void()> task);
    Duration retryDelay(std::uint32_t attempt);

    StoreCallerOptions options_;
    std::uint64_t nextTimer_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Http::Timer>> timers_;
};

} // namespace Anvilyard::Batch
