#include "LibBatch/StoreCaller.h"

namespace Anvilyard::Batch {

namespace {

using Platform::PlatformError;

bool isRetryable(std::error_code error)
{
    return error == PlatformError::OutcomeUnknown || error == PlatformError::Unavailable || error == PlatformError::TooManyCalls
        || error == PlatformError::OverBudget;
}

} // namespace

StoreCaller::StoreCaller(StoreCallerOptions options)
    : options_(options)
{
}

Http::EventLoop &StoreCaller::loop()
{
    return options_.loop;
}

RandomSource &StoreCaller::random()
{
    return options_.random;
}

Duration StoreCaller::retryDelay(std::uint32_t attempt)
{
    auto const maxDelay = options_.initialDelay * (1U << attempt);
    std::uniform_int_distribution<Duration::rep> distribution(maxDelay.count() / 2, maxDelay.count());
    return Duration(distribution(options_.random));
}

void StoreCaller::runAfter(Duration delay, std::function<void()> task)
{
    auto const id = nextTimer_++;
    timers_[id] = options_.loop.at(readLocalClock() + delay, [this, id, task = std::move(task)] {
        // The timer must outlive its own callback.
        auto const timer = std::move(timers_[id]);
        timers_.erase(id);
        auto const self = shared_from_this();
        auto const run = task;
        run();
    });
}

template<typename Value>
void StoreCaller::callWithRetries(Call<Value> call, std::uint32_t attempt, Platform::Reply<Value> reply)
{
    call([weak = weak_from_this(), call, attempt, reply = std::move(reply)](Result<Value> result) mutable {
        auto const self = weak.lock();
        if (!self)
            return;
        if (result || !isRetryable(result.error().code) || attempt + 1 >= self->options_.attempts) {
            reply(std::move(result));
            return;
        }
        auto const delay = self->retryDelay(attempt);
        self->runAfter(delay, [weak, call, attempt, reply = std::move(reply)] {
            if (auto const again = weak.lock())
                again->callWithRetries<Value>(call, attempt + 1, reply);
        });
    });
}

void StoreCaller::create(NewObject object, Platform::Reply<CreateOutcome> reply)
{
    Call<CreateOutcome> call = [this, object = std::move(object)](Platform::Reply<CreateOutcome> const &done) {
        options_.store.create(object.callClass, object.kind, object.name, object.spec, [done](Result<Platform::Object> const &result) {
            if (result)
                done(CreateOutcome::Created);
            else if (result.error().code == PlatformError::AlreadyExists)
                done(CreateOutcome::Existed);
            else
                done(tl::unexpected(result.error()));
        });
    };
    callWithRetries<CreateOutcome>(std::move(call), 0, std::move(reply));
}

void StoreCaller::get(Platform::Kind kind, Platform::ObjectName name, Platform::Reply<Platform::Object> reply)
{
    Call<Platform::Object> call = [this, kind = std::move(kind), name = std::move(name)](Platform::Reply<Platform::Object> done) {
        options_.store.get(Platform::CallClass::Read, kind, name, std::move(done));
    };
    callWithRetries<Platform::Object>(std::move(call), 0, std::move(reply));
}

void StoreCaller::list(Platform::Kind kind, Platform::ListOptions options, Platform::Reply<Platform::ObjectList> reply)
{
    Call<Platform::ObjectList> call =
        [this, kind = std::move(kind), options = std::move(options)](Platform::Reply<Platform::ObjectList> done) {
            options_.store.list(Platform::CallClass::Read, kind, options, std::move(done));
        };
    callWithRetries<Platform::ObjectList>(std::move(call), 0, std::move(reply));
}

void StoreCaller::update(Platform::Kind kind, Platform::Object object, Platform::Reply<Platform::Object> reply)
{
    options_.store.update(Platform::CallClass::Acknowledge, std::move(kind), std::move(object), std::move(reply));
}

void StoreCaller::remove(Platform::Kind kind, Platform::ObjectName name, std::function<void(Result<std::monostate>)> done)
{
    options_.store.remove(Platform::CallClass::Read, std::move(kind), std::move(name), {}, std::move(done));
}

} // namespace Anvilyard::Batch
