#include "versioncodec.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("Records of versions and streams are read as they were written")
{
    const ServiceVersions versions(
        {{"s", {{"v1", ServiceVersions::State::Open}, {"v\xff", ServiceVersions::State::Announced}}}});
    const auto decoded = decodeServiceVersions(encodeServiceVersions(versions));
    REQUIRE(decoded);
    CHECK(decoded->isOpen("s", "v1"));
    CHECK(decoded->hasSeveral("s"));
    const StreamOriginsByVersion origins{{"v1", {StreamOrigin{~std::uint64_t(0), Millis(7)}}}};
    CHECK(decodeStreamOrigins(encodeStreamOrigins(origins)) == origins);
}

TEST_CASE("Malformed records of versions and streams are rejected")
{
    // Guards against a record by another writer that ends the process or names a version by mistake.
    for (const char *text : {"", "[]", "{}", R"({"services":1})", R"({"services":{"s":1}})",
                             R"({"services":{"s":{"v":"shut"}}})", R"({"services":{"s":{"v":1}}})"}) {
        CHECK_FALSE(decodeServiceVersions(text));
    }
    for (const char *text : {"", "{}", R"({"versions":[]})", R"({"versions":{"v":1}})", R"({"versions":{"v":[1]}})",
                             R"({"versions":{"v":[[1]]}})", R"({"versions":{"v":[[1,-1]]}})",
                             R"({"versions":{"v":[["1",1]]}})", R"({"versions":{"v":[[1,99999999999]]}})"}) {
        CHECK_FALSE(decodeStreamOrigins(text));
    }
}
