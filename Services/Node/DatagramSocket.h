#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibHttp/EventLoop.h"

#include <functional>
#include <memory>
#include <string_view>

namespace Anvilyard::Node {

/// UDP socket on an event loop. Datagrams may be lost, duplicated and reordered; one that cannot be sent immediately is dropped.
class DatagramSocket
{
public:
    using OnDatagram = std::function<void(std::string_view content)>;

    virtual ~DatagramSocket() = default;
    static Result<std::unique_ptr<DatagramSocket>> open(Http::EventLoop &loop, Address const &listen, OnDatagram onDatagram);
    virtual void send(Address const &to, std::string_view content) = 0;
    [[nodiscard]] virtual Address address() const = 0;
};

} // namespace Anvilyard::Node
