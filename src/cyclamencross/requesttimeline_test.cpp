#include "requesttimeline.h"

#include <sstream>

#include <catch2/catch.hpp>

using namespace Cyclamen;

// Guards against a timeline that leaves out changes of the request's backend servers shortly before it, or includes
// lines of other requests, backend servers and processes.
TEST_CASE("the timeline of a request holds its log lines by time and the changes of its backend servers")
{
    std::istringstream log(
        "  1.2 host-1 "
        "{\"time_ms\":9000,\"process\":\"r1\",\"event\":\"placement\",\"request\":\"a\",\"backend\":\"e1\"}\n"
        "{\"time_ms\":9100,\"level\":\"info\",\"process\":\"r1\",\"event\":\"request-end\",\"request\":\"a\","
        "\"outcome\":\"failed:broken\",\"ms\":101}\n"
        "{\"time_ms\":8000,\"process\":\"r1\",\"event\":\"backend-removed\",\"backend\":\"e1\",\"held\":true}\n"
        "{\"time_ms\":8000,\"process\":\"r1\",\"event\":\"backend-removed\",\"backend\":\"e2\"}\n"
        "{\"time_ms\":8000,\"process\":\"r2\",\"event\":\"backend-removed\",\"backend\":\"e1\"}\n"
        "{\"time_ms\":1000,\"process\":\"r1\",\"event\":\"backend-changed\",\"backend\":\"e1\"}\n"
        "{\"time_ms\":9050,\"process\":\"r1\",\"event\":\"stop-begun\",\"signal\":15}\n"
        "{\"time_ms\":9050,\"process\":\"r1\",\"event\":\"placement\",\"request\":\"b\",\"backend\":\"e1\"}\n"
        "{\"time_ms\":90\n"
        "no log line\n");
    RequestTimeline timeline("a");
    timeline.read(log);
    CHECK(timeline.lines()
          == std::vector<std::string>{"8000 r1 backend-removed backend=e1 held=true",
                                      "9000 r1 placement backend=e1 request=a", "9050 r1 stop-begun signal=15",
                                      "9100 r1 request-end ms=101 outcome=failed:broken request=a"});
    CHECK(timeline.malformedLines() == 1);
}
