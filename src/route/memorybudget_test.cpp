#include "cyclamencross/route/memorylease.h"

#include <vector>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr std::size_t MiB = 1U << 20U;
constexpr std::size_t Small = MemoryBudget::SmallBodyBytes;

MemoryLease requestLease(const std::shared_ptr<MemoryBudget> &budget)
{
    return {budget, MemoryBudget::Use::RequestBody};
}

}

TEST_CASE("Bodies are admitted until the bytes of all of them reach the bound")
{
    // Guards against a router that exceeds its memory limit since each body alone is within the limit of its size.
    const auto budget = std::make_shared<MemoryBudget>(10 * MiB);
    std::vector<MemoryLease> admitted;
    for (int i = 0; i < 40; ++i) {
        MemoryLease lease = requestLease(budget);
        if (lease.growTo(MiB)) {
            admitted.push_back(std::move(lease));
        }
    }
    CHECK(admitted.size() == 7);
    CHECK(budget->heldBytes() == 7 * MiB);
}

TEST_CASE("Small bodies are admitted while large ones fill their part, but not beyond the bound")
{
    // Guards against a caller with large bodies that shuts out all other callers.
    const auto budget = std::make_shared<MemoryBudget>(MiB);
    MemoryLease large = requestLease(budget);
    REQUIRE(large.growTo(std::size_t(MiB * MemoryBudget::LargeRequestShare)));
    CHECK_FALSE(requestLease(budget).growTo(Small + 1));
    std::vector<MemoryLease> small;
    while (small.size() < 1000) {
        MemoryLease lease = requestLease(budget);
        if (!lease.growTo(Small)) {
            break;
        }
        small.push_back(std::move(lease));
    }
    CHECK(small.size() == std::size_t(MiB * (1 - MemoryBudget::LargeRequestShare)) / Small);
    CHECK(budget->heldBytes() <= MiB);
}

TEST_CASE("A body that grows is refused further bytes at the bound and keeps those that it has")
{
    // Guards against chunked bodies, whose length is not announced, that grow beyond the bound.
    const auto budget = std::make_shared<MemoryBudget>(MiB);
    MemoryLease lease = requestLease(budget);
    std::size_t bytes = 0;
    while (bytes < 2 * MiB && lease.growTo(bytes + 1000)) {
        bytes += 1000;
    }
    CHECK(bytes > MiB / 2);
    CHECK(bytes <= std::size_t(MiB * MemoryBudget::LargeRequestShare));
    CHECK(lease.bytes() == bytes);
    CHECK(budget->heldBytes() == bytes);
    CHECK(lease.growTo(10)); // Growing to less than it has changes nothing.
    CHECK(lease.bytes() == bytes);
}

TEST_CASE("Bytes return to the budget once, whichever way a lease ends")
{
    // Guards against a budget that fills up over time because of requests that were refused or abandoned.
    const auto budget = std::make_shared<MemoryBudget>(MiB);
    {
        MemoryLease first = requestLease(budget);
        REQUIRE(first.growTo(100));
        MemoryLease second = std::move(first);
        CHECK(budget->heldBytes() == 100);
        MemoryLease third = requestLease(budget);
        REQUIRE(third.growTo(50));
        third = std::move(second);
        CHECK(budget->heldBytes() == 100);
        third.release();
        CHECK(budget->heldBytes() == 0);
        CHECK(third.growTo(10));
    }
    CHECK(budget->heldBytes() == 0);
}

TEST_CASE("A lease that shrinks returns what it gives up, also while the budget is full")
{
    // Guards against a stream that breaks off for lack of memory at the moment when it needs less.
    const auto budget = std::make_shared<MemoryBudget>(MiB);
    MemoryLease lease = requestLease(budget);
    REQUIRE(lease.growTo(MiB / 2));
    std::vector<MemoryLease> small;
    while (budget->heldBytes() < MiB) {
        small.push_back(requestLease(budget));
        REQUIRE(small.back().growTo(Small));
    }
    lease.shrinkTo(MiB / 2 + 1);
    CHECK(budget->heldBytes() == MiB);
    lease.shrinkTo(2 * Small);
    CHECK(lease.bytes() == 2 * Small);
    CHECK(budget->heldBytes() == MiB / 2 + 2 * Small);
    lease.release();
    CHECK(budget->heldBytes() == MiB / 2);
}

TEST_CASE("Responses are admitted while large requests are refused")
{
    // Guards against requests that were executed but whose response cannot be held.
    const auto budget = std::make_shared<MemoryBudget>(MiB);
    MemoryLease large = requestLease(budget);
    REQUIRE(large.growTo(std::size_t(MiB * MemoryBudget::LargeRequestShare)));
    CHECK_FALSE(requestLease(budget).growTo(2 * Small));
    MemoryLease response(budget, MemoryBudget::Use::ResponseBody);
    CHECK(response.growTo(2 * Small));
    CHECK_FALSE(response.growTo(MiB / 2));
}

TEST_CASE("Sizes near the largest number do not overflow the budget")
{
    const auto budget = std::make_shared<MemoryBudget>(MiB);
    MemoryLease lease = requestLease(budget);
    REQUIRE(lease.growTo(10));
    CHECK_FALSE(lease.growTo(~std::size_t(0)));
    CHECK(budget->heldBytes() == 10);
}

TEST_CASE("A lease without a budget admits everything")
{
    MemoryLease lease;
    CHECK(lease.growTo(MiB));
    CHECK(lease.bytes() == MiB);
}
