#pragma once

#include "Services/Entry/Filter.h"
#include "Services/Entry/ThreadContext.h"

namespace Anvilyard::Entry {

/// Parses the request and determines its service, route and form of answer from the rules.
class ServiceResolver final : public Filter
{
public:
    explicit ServiceResolver(ThreadContext &context);

    void handle(OnlineRequestPointer request, Next const &next) override;

private:
    void resolveCompletion(OnlineRequestPointer request, Next const &next);
    void resolvePlainService(OnlineRequestPointer request, Next const &next);
    void listModels(OnlineRequestPointer const &request);
    [[nodiscard]] bool drawRoute(OnlineRequest &request);

    ThreadContext &context_;
};

} // namespace Anvilyard::Entry
