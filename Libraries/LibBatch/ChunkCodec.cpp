#include "LibBatch/ChunkCodec.h"

#include "LibBatch/StoredJson.h"

namespace Anvilyard::Batch {

std::string ChunkCodec::encode(ChunkState const &value)
{
    boost::json::array attempts;
    for (auto const &[item, count] : value.attempts) {
        attempts.emplace_back(item);
        attempts.emplace_back(count);
    }
    return boost::json::serialize(boost::json::object{
        {"owner", value.owner},
        {"writer", value.writer},
        {"epoch", value.epoch.value()},
        {"leaseDeadline", storedInstant(value.leaseDeadline)},
        {"outcomes", value.outcomes},
        {"attempts", std::move(attempts)},
        {"losses", value.losses},
        {"suspects", toArray(value.suspects)},
        {"trial", toArray(value.trial)},
        {"trialSize", value.trialSize},
        {"intents", toArray(value.intents)},
        {"doubtful", toArray(value.doubtful)},
        {"parts", toArray(value.parts)},
    });
}

Result<ChunkState> ChunkCodec::decode(std::string_view text)
{
    auto json = StoredJson::parse(text);
    if (!json)
        return tl::unexpected(json.error());
    ChunkState value;
    value.owner = json->text("owner");
    value.writer = json->text("writer");
    value.epoch = Epoch(json->number("epoch"));
    value.leaseDeadline = json->instant("leaseDeadline");
    value.outcomes = json->text("outcomes");
    auto const attempts = json->numbers("attempts");
    for (std::size_t index = 0; index + 1 < attempts.size(); index += 2)
        value.attempts.emplace(attempts[index], attempts[index + 1]);
    value.losses = json->smallNumber("losses");
    value.suspects = json->numbers("suspects");
    value.trial = json->numbers("trial");
    value.trialSize = json->smallNumber("trialSize");
    value.intents = json->numbers("intents");
    value.doubtful = json->numbers("doubtful");
    value.parts = json->texts("parts");
    return json->finish(std::move(value));
}

} // namespace Anvilyard::Batch
