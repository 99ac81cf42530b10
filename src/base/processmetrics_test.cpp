#include "cyclamencross/base/metrics.h"
#include "cyclamencross/base/processmetrics.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

double valueOf(const std::string &text, const std::string &name)
{
    const auto begin = text.find("\n" + name + " ");
    return begin == std::string::npos ? -1 : std::stod(text.substr(begin + name.size() + 2));
}

}

// Guards against a control budget that is judged by gauges that were never filled in.
TEST_CASE("the process publishes its own use")
{
    Metrics metrics;
    ProcessMetrics process(metrics);
    addControlBytesSent(7);
    addControlBytesReceived(5);
    addControlBytesReceived(6);
    process.publish();
    const std::string text = metrics.text();
    CHECK(valueOf(text, "cyclamencross_process_cpu_seconds") >= 0);
    CHECK(valueOf(text, "cyclamencross_process_resident_bytes") > 1e6);
    CHECK(valueOf(text, "cyclamencross_process_threads") >= 1);
    CHECK(valueOf(text, "cyclamencross_control_bytes_sent") == 7);
    CHECK(valueOf(text, "cyclamencross_control_bytes_received") == 11);
}
