#include "cyclamencross/base/metrics.h"
#include "cyclamencross/base/processmetrics.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

double metricValue(const std::string &text, const std::string &name)
{
    const auto begin = text.find("\n" + name + " ");
    return begin == std::string::npos ? -1 : std::stod(text.substr(begin + name.size() + 2));
}

}

// Guards against gauges that are never set: the budget of the control plane is checked against them.
TEST_CASE("the process publishes its resource usage")
{
    Metrics metrics;
    ProcessMetrics process(metrics);
    addControlBytesSent(7);
    addControlBytesReceived(5);
    addControlBytesReceived(6);
    process.publish();
    const std::string text = metrics.text();
    CHECK(metricValue(text, "cyclamencross_process_cpu_seconds") >= 0);
    CHECK(metricValue(text, "cyclamencross_process_resident_bytes") > 1e6);
    CHECK(metricValue(text, "cyclamencross_process_threads") >= 1);
    CHECK(metricValue(text, "cyclamencross_control_bytes_sent") == 7);
    CHECK(metricValue(text, "cyclamencross_control_bytes_received") == 11);
}
