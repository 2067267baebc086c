#include "LibPlatform/SettlingStore.h"

namespace Anvilyard::Platform {

namespace {

using SendChange = std::function<void(Reply<Object>)>;

/// Runs one change until its outcome is settled.
class SettlingChange : public std::enable_shared_from_this<SettlingChange>
{
public:
    struct Parts {
        SettlingStoreOptions store;
        CallClass callClass;
        Kind kind;
        ObjectName name;
        ChangeSettlementOptions settlement;
        SendChange send;
        Reply<Object> reply;
    };

    explicit SettlingChange(Parts parts)
        : parts_(std::move(parts))
        , settlement_(parts_.settlement, parts_.store.random)
    {
    }

    void change()
    {
        parts_.send([self = shared_from_this()](Result<Object> result) {
            self->perform(self->settlement_.onChanged(std::move(result), self->parts_.store.clock()));
        });
    }

private:
    void read()
    {
        parts_.store.store.get(parts_.callClass, parts_.kind, parts_.name, [self = shared_from_this()](Result<Object> result) {
            self->perform(self->settlement_.onRead(std::move(result), self->parts_.store.clock()));
        });
    }

    void perform(SettlementAction action)
    {
        if (action.step == SettlementStep::Finish)
            return parts_.reply(std::move(*action.result));
        auto const next = action.step == SettlementStep::Change ? &SettlingChange::change : &SettlingChange::read;
        if (action.delay == Duration::zero())
            return ((*this).*next)();
        parts_.store.after(action.delay, [self = shared_from_this(), next] { ((*self).*next)(); });
    }

    Parts parts_;
    ChangeSettlement settlement_;
};

} // namespace

SettlingStore::SettlingStore(SettlingStoreOptions options)
    : options_(std::move(options))
{
}

void SettlingStore::create(CallClass callClass, Kind kind, ObjectName name, std::string spec, WriterId writer, Reply<Object> reply)
{
    auto &store = options_.store;
    auto options = options_;
    options.random.seed(options_.random());
    std::make_shared<SettlingChange>(
        SettlingChange::Parts{
            .store = std::move(options),
            .callClass = callClass,
            .kind = kind,
            .name = name,
            .settlement = {.writer = std::move(writer), .deadline = options_.clock() + options_.settleTimeout},
            .send = [=, &store, spec = std::move(spec)](
                        Reply<Object> storeReply) { store.create(callClass, kind, name, spec, std::move(storeReply)); },
            .reply = std::move(reply),
        })
        ->change();
}

void SettlingStore::update(CallClass callClass, Kind kind, Object object, WriterId writer, Reply<Object> reply)
{
    auto &store = options_.store;
    auto options = options_;
    options.random.seed(options_.random());
    ChangeSettlementOptions settlement{
        .writer = std::move(writer),
        .base = object.version,
        .deadline = options_.clock() + options_.settleTimeout,
    };
    std::make_shared<SettlingChange>(
        SettlingChange::Parts{
            .store = std::move(options),
            .callClass = callClass,
            .kind = kind,
            .name = object.name,
            .settlement = std::move(settlement),
            .send = [=, &store](Reply<Object> storeReply) { store.update(callClass, kind, object, std::move(storeReply)); },
            .reply = std::move(reply),
        })
        ->change();
}

} // namespace Anvilyard::Platform
