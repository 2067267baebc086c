#include "LibPlatform/BudgetedObjectStore.h"

#include "LibObserve/Events.h"

#include <unordered_map>

namespace Anvilyard::Platform {

namespace {

CallOutcome outcomeOf(std::error_code const &error)
{
    if (error == PlatformError::TooManyCalls)
        return CallOutcome::RateLimited;
    if (error == PlatformError::Unavailable)
        return CallOutcome::Failed;
    if (error == PlatformError::OutcomeUnknown)
        return CallOutcome::ResponseLost;
    return CallOutcome::Responded;
}

std::string_view nameOf(CallClass callClass)
{
    switch (callClass) {
    case CallClass::Lease:
        return "lease";
    case CallClass::Acknowledge:
        return "acknowledge";
    case CallClass::Commit:
        return "commit";
    case CallClass::Read:
        return "read";
    }
    return "";
}

class LoopBudgetedStore final : public BudgetedObjectStore
{
public:
    explicit LoopBudgetedStore(BudgetedObjectStoreOptions options, std::unique_ptr<ObjectStore> owned = nullptr)
        : owned_(std::move(owned))
        , options_(std::move(options))
        , budget_(options_.budget, readLocalClock(), seedFromSystem())
    {
    }

    void create(CallClass callClass, Kind kind, ObjectName name, std::string spec, Reply<Object> reply) override
    {
        submit<Object>(callClass, CallKind::Change, std::move(reply), [=, this](Reply<Object> wrapped) {
            options_.store.create(callClass, kind, name, spec, std::move(wrapped));
        });
    }

    void get(CallClass callClass, Kind kind, ObjectName name, Reply<Object> reply) override
    {
        submit<Object>(callClass, CallKind::Read, std::move(reply), [=, this](Reply<Object> wrapped) {
            options_.store.get(callClass, kind, name, std::move(wrapped));
        });
    }

    void update(CallClass callClass, Kind kind, Object object, Reply<Object> reply) override
    {
        submit<Object>(callClass, CallKind::Change, std::move(reply), [=, this](Reply<Object> wrapped) {
            options_.store.update(callClass, kind, object, std::move(wrapped));
        });
    }

    void remove(CallClass callClass, Kind kind, ObjectName name, ResourceVersion version, Reply<std::monostate> reply) override
    {
        submit<std::monostate>(callClass, CallKind::Change, std::move(reply), [=, this](Reply<std::monostate> wrapped) {
            options_.store.remove(callClass, kind, name, version, std::move(wrapped));
        });
    }

    void list(CallClass callClass, Kind kind, ListOptions listOptions, Reply<ObjectList> reply) override
    {
        submit<ObjectList>(callClass, CallKind::Read, std::move(reply), [=, this](Reply<ObjectList> wrapped) {
            options_.store.list(callClass, kind, listOptions, std::move(wrapped));
        });
    }

    std::unique_ptr<Watch> watch(Kind kind, ResourceVersion from, WatchHandlers handlers) override
    {
        count("watch", "started");
        return options_.store.watch(std::move(kind), std::move(from), std::move(handlers));
    }

    [[nodiscard]] CallBudget const &budget() const override
    {
        return budget_;
    }

private:
    struct Pending {
        std::string_view className;
        std::function<void()> start;
        std::function<void()> refuse;
    };

    template<typename Value>
    void submit(CallClass callClass, CallKind kind, Reply<Value> reply, std::function<void(Reply<Value>)> call)
    {
        auto const sharedReply = std::make_shared<Reply<Value>>(std::move(reply));
        CallId const id(nextId_++);
        pending_[id] = {
            .className = nameOf(callClass),
            .start =
                [this, call = std::move(call), sharedReply] {
                    call([this, alive = std::weak_ptr(alive_), sharedReply](Result<Value> result) {
                        if (!alive.lock())
                            return;
                        onOutcome(outcomeOf(result ? std::error_code() : result.error().code));
                        (*sharedReply)(std::move(result));
                    });
                },
            .refuse = [sharedReply] { (*sharedReply)(failure(PlatformError::OverBudget)); },
        };
        auto const now = readLocalClock();
        updateLiveInstances(now);
        auto const timeout = options_.queueTimeouts[static_cast<std::size_t>(callClass)];
        perform(budget_.onCall({.id = id, .callClass = callClass, .kind = kind, .deadline = now + timeout}, now));
    }

    void updateLiveInstances(Instant now)
    {
        auto const count = options_.liveInstances ? options_.liveInstances() : 0;
        if (count == 0 || count == liveInstances_)
            return;
        liveInstances_ = count;
        budget_.onLiveInstances(count, now);
    }

    void onOutcome(CallOutcome outcome)
    {
        bool const wasOutage = budget_.isOutage();
        auto const actions = budget_.onOutcome(outcome, readLocalClock());
        if (budget_.isOutage() != wasOutage)
            Observe::log(wasOutage ? Observe::Events::PlatformCallsAnswered : Observe::Events::PlatformCallsFailing);
        perform(actions);
    }

    void perform(std::vector<CallAction> const &actions)
    {
        for (auto const &[id, decision] : actions) {
            auto const found = pending_.find(id);
            auto const pending = std::move(found->second);
            pending_.erase(found);
            bool const isStart = decision == CallDecision::Start;
            count(pending.className, isStart ? "started" : "refused");
            if (isStart)
                pending.start();
            else
                postRefusal(pending.refuse);
        }
        armTimer();
    }

    /// Posts the refusal, since a reply must not be called from within the call that requested it.
    void postRefusal(std::function<void()> const &refuse)
    {
        options_.loop.post([alive = std::weak_ptr(alive_), refuse] {
            if (alive.lock())
                refuse();
        });
    }

    void armTimer()
    {
        auto const due = budget_.nextTimer();
        if (due == Instant::max()) {
            timer_.reset();
            return;
        }
        timer_ = options_.loop.at(due, [this] { perform(budget_.onTimer(readLocalClock())); });
    }

    void count(std::string_view className, std::string_view decision)
    {
        if (options_.metrics == nullptr)
            return;
        options_.metrics
            ->counter("anvilyard_platform_calls_total",
                      "Calls to the platform by class, started or refused by the process's budget",
                      {{"class", std::string(className)}, {"decision", std::string(decision)}})
            .add();
    }

    /// Set if this object owns the store in `options_`.
    std::unique_ptr<ObjectStore> owned_;
    BudgetedObjectStoreOptions options_;
    CallBudget budget_;
    std::unordered_map<CallId, Pending> pending_;
    std::uint64_t nextId_ = 1;
    std::size_t liveInstances_ = 0;
    std::unique_ptr<Http::Timer> timer_;
    std::shared_ptr<std::monostate> alive_ = std::make_shared<std::monostate>();
};

} // namespace

std::unique_ptr<BudgetedObjectStore> BudgetedObjectStore::create(BudgetedObjectStoreOptions options)
{
    return std::make_unique<LoopBudgetedStore>(std::move(options));
}

std::unique_ptr<BudgetedObjectStore> BudgetedObjectStore::createOverHttp(BudgetedHttpStoreOptions options)
{
    auto store = HttpObjectStore::create(options.http);
    auto &inner = *store;
    return std::make_unique<LoopBudgetedStore>(
        BudgetedObjectStoreOptions{
            .loop = options.http.loop,
            .store = inner,
            .budget = options.budget,
            .metrics = options.metrics,
            .liveInstances = std::move(options.liveInstances),
        },
        std::move(store));
}

} // namespace Anvilyard::Platform
