#include "LibOperator/PlatformRuleSetStore.h"

#include "LibOperator/OperatorError.h"

namespace Anvilyard::Operator {

using Platform::PlatformError;

namespace {

Platform::Kind ruleSetKind()
{
    return Platform::Kind(std::string(Rules::RuleSetKind));
}

} // namespace

PlatformRuleSetStore::PlatformRuleSetStore(PlatformSession &session)
    : session_(session)
{
}

Result<std::optional<Generation>> PlatformRuleSetStore::oldest()
{
    auto const first = session_.list(ruleSetKind(), {.limit = 1});
    if (!first)
        return tl::unexpected(first.error());
    if (first->objects.empty())
        return std::optional<Generation>();
    auto const generation = Rules::generationOfName(first->objects.front().name.value());
    if (!generation)
        return failure(OperatorError::BadRuleSet, first->objects.front().name.value());
    return generation;
}

Result<std::optional<Rules::AcceptedRules>> PlatformRuleSetStore::get(Generation generation)
{
    auto const name = Rules::ruleSetName(generation);
    auto const object = session_.get(ruleSetKind(), Platform::ObjectName(name));
    if (!object && object.error().code == PlatformError::NotFound)
        return std::optional<Rules::AcceptedRules>();
    if (!object)
        return tl::unexpected(object.error());
    auto rules = Rules::decodeRuleSet(object->spec);
    if (!rules)
        return failure(OperatorError::BadRuleSet, name + ": " + rules.error().toString());
    return std::optional(std::move(*rules));
}

Result<CreateResult> PlatformRuleSetStore::create(Rules::AcceptedRules const &rules)
{
    Platform::ObjectName const name(Rules::ruleSetName(rules.generation));
    auto const created = session_.create(ruleSetKind(), name, encodeRuleSet(rules), Platform::WriterId(rules.writer));
    if (created)
        return CreateResult::Created;
    if (created.error().code == PlatformError::AlreadyExists)
        return CreateResult::Taken;
    return tl::unexpected(created.error());
}

} // namespace Anvilyard::Operator
