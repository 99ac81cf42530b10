#include "cyclamencross/route/busiestlabels.h"

#include <set>

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("The busiest names get labels of their own, also if they come late")
{
    BusiestLabels labels(2);
    CHECK(labels.use("a") == "a");
    CHECK(labels.use("b") == "b");
    CHECK(labels.use("c") == BusiestLabels::Other);
    for (int i = 0; i < 100; ++i) {
        labels.use("a");
    }
    CHECK(labels.takeWithdrawn().empty());
    int othersOfC = 0;
    for (int i = 0; i < 100; ++i) {
        othersOfC += labels.use("c") == BusiestLabels::Other ? 1 : 0;
    }
    CHECK(othersOfC < 30);
    CHECK(labels.use("c") == "c");
    CHECK(labels.use("a") == "a");
    CHECK(labels.use("b") == BusiestLabels::Other);
    CHECK(labels.takeWithdrawn() == std::vector<std::string>{"b"});
    CHECK(labels.takeWithdrawn().empty());
}

TEST_CASE("Names that are equally busy do not take each other's labels")
{
    // Guards against series that begin and end all the time.
    BusiestLabels labels(4);
    for (int i = 0; i < 100000; ++i) {
        labels.use(std::to_string(i % 350));
    }
    CHECK(labels.takeWithdrawn().empty());
}

TEST_CASE("A name that is not busy any more makes room for a busy one")
{
    BusiestLabels labels(1);
    for (std::uint64_t i = 0; i < 3 * BusiestLabels::HalvingUses; ++i) {
        labels.use("former");
    }
    for (std::uint64_t i = 0; i < 4 * BusiestLabels::HalvingUses; ++i) {
        labels.use("new");
    }
    CHECK(labels.use("new") == "new");
    CHECK(labels.takeWithdrawn() == std::vector<std::string>{"former"});
}

TEST_CASE("The number of labels stays bounded for any sequence of names")
{
    // Guards against metrics that grow with the number of workspaces.
    BusiestLabels labels(16);
    std::set<std::string> series;
    std::uint64_t random = 1;
    for (int i = 0; i < 200000; ++i) {
        random = random * 6364136223846793005U + 1442695040888963407U;
        // The range of the names moves, so that the busiest ones change.
        const int name = i / 20000 * 8 + int((random >> 33U) % 40 * ((random >> 40U) % 2));
        series.insert(labels.use(std::to_string(name)));
        for (const std::string &withdrawn : labels.takeWithdrawn()) {
            series.erase(withdrawn);
        }
        REQUIRE(series.size() <= 17);
    }
    BusiestLabels none(0);
    CHECK(none.use("a") == BusiestLabels::Other);
}
