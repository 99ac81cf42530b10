#include "cyclamencross/base/metrics.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("Counters of a label's value can be removed and begin anew")
{
    Metrics metrics;
    metrics.count("requests", {{"workspace", "a"}, {"outcome", "answered"}}, 3);
    metrics.count("requests", {{"workspace", "b"}, {"outcome", "answered"}}, 5);
    metrics.count("refusals", {{"workspace", "a"}});
    metrics.count("refusals", {{"reason", "a"}});
    metrics.removeCounters("workspace", "a");
    std::string text = metrics.serialize();
    CHECK(text.find("workspace=\"a\"") == std::string::npos);
    CHECK(text.find("requests{outcome=\"answered\",workspace=\"b\"} 5") != std::string::npos);
    CHECK(text.find("refusals{reason=\"a\"} 1") != std::string::npos);
    metrics.count("requests", {{"workspace", "a"}, {"outcome", "answered"}});
    text = metrics.serialize();
    CHECK(text.find("requests{outcome=\"answered\",workspace=\"a\"} 1") != std::string::npos);
}
