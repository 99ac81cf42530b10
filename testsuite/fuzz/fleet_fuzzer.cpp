// Values of the store's items: the configuration, registrations, containments and the stage plan.

#include "check.h"
#include "codecs.h"
#include "containmentcodec.h"
#include "memberrecord.h"
#include "stageplancodec.h"

using namespace Cyclamen;

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    static const FleetCodec codec = makeFleetCodec();
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto config = codec.decodeConfig(text);
    if (const auto *table = std::get_if<RouteTable>(&config)) {
        const RouteConfig *route = table->match("h.example", "/plain/x?q=1");
        check(route == nullptr || std::string("/plain/x").starts_with(route->pathPrefix),
              "a route has the path's prefix");
    }
    const auto backend = codec.decodeBackend("b1", text);
    if (const auto *server = std::get_if<BackendServer>(&backend)) {
        check(server->slots >= 0, "a server does not have a negative number of slots");
    }
    const TimePoint now = Clock::now();
    const std::int64_t unixNow = 1'700'000'000;
    if (const auto containments = decodeContainments(text, now, unixNow)) {
        check(decodeContainments(encodeContainments(*containments, now, unixNow), now, unixNow).has_value(),
              "containments that were decoded can be encoded");
    }
    if (const auto plan = decodeStagePlan(text)) {
        check(decodeStagePlan(encodeStagePlan(*plan)) == plan, "a plan that was decoded can be encoded");
    }
    if (const auto member = decodeMember("r1", text)) {
        check(decodeMember("r1", encodeMember(*member)) == member, "a registration that was decoded can be encoded");
    }
    return 0;
}
