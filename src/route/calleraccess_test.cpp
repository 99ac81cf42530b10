#include "cyclamencross/route/calleraccess.h"

#include "cyclamencross/route/routetablebuilder.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;
using Verdict = CallerAccess::Verdict;

namespace
{

std::shared_ptr<const RouteTable> makeTable(const std::string &workspace, const std::vector<std::string> &keys)
{
    RouteTableBuilder builder;
    WorkspaceConfig config;
    config.name = workspace;
    std::vector<ApiKeyHash> hashes;
    for (const std::string &key : keys) {
        hashes.emplace_back(key);
    }
    builder.add(std::move(config), hashes);
    return std::make_shared<const RouteTable>(builder.build());
}

RouteConfig makeRoute(bool isPublic)
{
    RouteConfig route;
    route.isPublic = isPublic;
    return route;
}

const RouteConfig Closed = makeRoute(false);
const RouteConfig Open = makeRoute(true);

}

TEST_CASE("A request follows its key through changes of the configuration")
{
    CallerAccess access("k");
    CHECK(access.check(makeTable("a", {"x"}), Closed, true) == Verdict::UnknownKey);
    CHECK(access.workspace() == nullptr);
    CHECK(access.check(makeTable("a", {"x", "k"}), Closed, true) == Verdict::Granted);
    REQUIRE(access.workspace() != nullptr);
    CHECK(access.workspace()->name == "a");
    CHECK(access.check(makeTable("b", {"k"}), Closed, true) == Verdict::Granted);
    CHECK(access.workspace()->name == "b");
    // The refusal still names the workspace, although its table is gone elsewhere.
    CHECK(access.check(makeTable("b", {}), Closed, true) == Verdict::UnknownKey);
    CHECK(access.workspace()->name == "b");
    CHECK(access.check(makeTable("b", {}), Open, true) == Verdict::Granted);
    CHECK(access.workspace() == nullptr);
}

TEST_CASE("A request without a key is let in by public routes and by configurations without workspaces only")
{
    CallerAccess access("");
    const auto table = makeTable("a", {""});
    CHECK(access.check(table, Closed, true) == Verdict::NoKey);
    CHECK(access.check(table, Open, true) == Verdict::Granted);
    CHECK(access.workspace() == nullptr);
    CHECK(access.check(std::make_shared<const RouteTable>(), Closed, true) == Verdict::Granted);
    CHECK_FALSE(access.hasWorkspaces());
}

TEST_CASE("An uncertain configuration refuses what needs a key and names no workspace on public routes")
{
    CallerAccess access("k");
    const auto table = makeTable("a", {"k"});
    CHECK(access.check(table, Closed, false) == Verdict::NotCertain);
    CHECK(access.check(table, Open, false) == Verdict::Granted);
    CHECK(access.workspace() == nullptr);
    CHECK(access.check(table, Closed, true) == Verdict::Granted);
    CHECK(access.workspace()->name == "a");
    // Without workspaces, certainty does not matter.
    CHECK(access.check(std::make_shared<const RouteTable>(), Closed, false) == Verdict::Granted);
    CHECK(refusalStatus(Verdict::NotCertain) == 503);
    CHECK(refusalStatus(Verdict::UnknownKey) == 401);
    CHECK(refusalStatus(Verdict::NoKey) == 401);
}
