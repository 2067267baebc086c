#include "Benchmarks/Capacity/FleetData.h"
#include "Benchmarks/Capacity/Roles.h"
#include "Benchmarks/Capacity/Slope.h"
#include "LibPeer/PeerCodecContext.h"

namespace Anvilyard::Benchmarks {

namespace {

template<typename Message, typename Value>
double encodedBytes(Value const &value)
{
    Message message;
    Peer::encode(value, message);
    return static_cast<double>(message.ByteSizeLong());
}

} // namespace

void measureMessages()
{
    namespace wire = ::anvilyard::peer;
    printFigure("message_bytes_instance_record", encodedBytes<wire::InstanceRecord>(instanceRecord(1)), "bytes");
    printFigure(
        "message_bytes_server_record", encodedBytes<wire::ServerRecord>(Fleet::ServerRecord{.server = server(1), .version = 7}), "bytes");
    Peer::OnlineReport const online{.from = instanceRecord(1).id,
                                    .processIncarnation = 1'800'000'000'000,
                                    .counts = {{.server = server(1).id, .started = 900'000, .finished = 899'990}}};
    printFigure("message_bytes_online_report", encodedBytes<wire::ReportOnlineRequest>(online), "bytes");
    Peer::UsageReport const usage{.from = instanceRecord(1).id,
                                  .processIncarnation = 1'800'000'000'000,
                                  .counts = {{.customer = CustomerId("shop-10001"),
                                              .service = ServiceName("fault-notes"),
                                              .requests = 900'000,
                                              .tokens = 90'000'000,
                                              .refused = 12}}};
    printFigure("message_bytes_usage_report", encodedBytes<wire::ReportUsageRequest>(usage), "bytes");
    std::vector<Peer::GrantedShare> const shares{{.customer = CustomerId("shop-10001"),
                                                  .service = ServiceName("fault-notes"),
                                                  .requestsPerSecond = 2.5,
                                                  .tokensPerSecond = 500,
                                                  .validFor = std::chrono::milliseconds(3000)}};
    printFigure("message_bytes_usage_reply", encodedBytes<wire::ReportUsageReply>(shares), "bytes");
    Fleet::Exchange const quiet{.from = instanceRecord(1).id,
                                .incarnation = instanceRecord(1).incarnation,
                                .generation = Generation(510'000),
                                .instancesDigest = 0x123456789abcdef0,
                                .serversDigest = 0x123456789abcdef0,
                                .jobsMark = 1'800'000'000'000};
    printFigure("message_bytes_quiet_exchange", encodedBytes<wire::ExchangeRequest>(quiet), "bytes");
}

} // namespace Anvilyard::Benchmarks
