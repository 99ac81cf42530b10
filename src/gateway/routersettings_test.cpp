#include "cyclamencross/gateway/routersettings.h"

#include "cyclamencross/base/errors.h"

#include <cstdlib>
#include <fstream>
#include <string>

#include <unistd.h>

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

// Returns the key that makes settings with the given line for a bound invalid; empty if they are valid.
std::string invalidKey(const std::string &line)
{
    std::string path = "/tmp/routersettings_test.XXXXXX";
    close(mkstemp(path.data()));
    std::ofstream(path) << "[router]\nname = r\nzone = z\n[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\n"
                        << "directory =\npeers = 127.0.0.1:3\n[store]\naddress = 127.0.0.1:4\nmin_lease_ms = 1000\n"
                        << "[limits]\nmemory_mib = 96\ndescriptors = 1000\n[bounds]\nheartbeat_ms = 600\n"
                        << "retry_ratio = 0.2\nretry_slack = 30\nretry_window_s = 10\norder_pause_ms = 3000\n"
                        << "answer_ttl_max_s = 5\n"
                        << line << "\n";
    const std::string key = boost::leaf::try_handle_all(
        [&path]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(loadRouterSettings(path));
            return std::string();
        },
        [](const InvalidSetting &invalid) { return invalid.key; }, [] { return std::string("unknown failure"); });
    unlink(path.c_str());
    return key;
}

}

TEST_CASE("Bounds out of range make the settings invalid")
{
    // Guards against undefined behaviour when a number that is too large is converted before it is checked, which shows
    // with UndefinedBehaviorSanitizer.
    CHECK(invalidKey("stop_grace_s = 8").empty());
    CHECK(invalidKey("stop_grace_s = 0.5").empty());
    for (const char *number : {"1e300", "-1", "nan", "inf", "1000001", "8x", ""}) {
        CHECK(invalidKey(std::string("stop_grace_s = ") + number) == "bounds.stop_grace_s");
    }
}

TEST_CASE("Numbers that the platform states may have a fraction")
{
    // Guards against a router that does not start because the platform states 2.5 s for the time that callers may cache
    // an address, or 128.5 MiB of memory.
    RouterSettings settings;
    const auto isValid = [&settings](const std::string &key, const std::string &value) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_ASSIGN(settings, withSetting(settings, key, value));
                return true;
            },
            [](const InvalidSetting & /*invalid*/) { return false; }, [] { return false; });
    };
    for (const char *value : {"0.5", "1", "2.5", "5", "3600"}) {
        CHECK(isValid("bounds.answer_ttl_max_s", value));
        CHECK(settings.maxAddressTtl == Millis(std::int64_t(std::stod(value) * 1000)));
    }
    CHECK(isValid("limits.memory_mib", "128.5"));
    CHECK(settings.memoryMiB == 128);
    CHECK(isValid("limits.descriptors", "2870.0"));
    CHECK(settings.descriptors == 2870);
    for (const char *value : {"1e300", "-1", "nan", "inf", "1000001", "8x", ""}) {
        CHECK_FALSE(isValid("bounds.answer_ttl_max_s", value));
    }
    for (const char *value : {"1e300", "-96.5", "nan", "inf", "31.9", "1048576.5", "96x", ""}) {
        CHECK_FALSE(isValid("limits.memory_mib", value));
    }
    for (const char *value : {"63.9", "16777216.5", "1e300", "nan"}) {
        CHECK_FALSE(isValid("limits.descriptors", value));
    }
}

TEST_CASE("The bounds on removed API keys may be missing or empty")
{
    // Guards against settings files of earlier versions, or platforms without these bounds, that keep a router from
    // starting.
    for (const char *line : {"", "revoke_ms =", "revoke_ms = 2500", "revoke_ms = 2500.5",
                             "strict_revoke =", "strict_revoke = true", "strict_revoke = false"}) {
        CHECK(invalidKey(std::string("stop_grace_s = 8\n") + line).empty());
    }
    for (const char *value : {"-1", "1e300", "soon"}) {
        CHECK(invalidKey(std::string("stop_grace_s = 8\nrevoke_ms = ") + value) == "bounds.revoke_ms");
    }
    CHECK(invalidKey("stop_grace_s = 8\nstrict_revoke = maybe") == "bounds.strict_revoke");
    const RouterSettings defaults;
    CHECK(defaults.revokeTime == Millis(10000));
    CHECK_FALSE(defaults.strictRevoke);
}

TEST_CASE("The memory for bodies is a part of the memory limit")
{
    RouterSettings settings;
    settings.memoryMiB = 100;
    CHECK(settings.bodyMemoryBytes() == std::size_t(double(100U << 20U) * RouterSettings::BodyMemoryShare));
}

TEST_CASE("Settings without the first start of the system, or with an empty value, are valid")
{
    // Guards against settings files of earlier versions that are refused, and against a typing error that stands for
    // true or false.
    for (const char *value : {"", "true", "false"}) {
        CHECK(invalidKey(std::string("stop_grace_s = 8\n[router]\nbootstrap = ") + value).empty());
    }
    CHECK(invalidKey("stop_grace_s = 8\n[router]\nbootstrap = yes") == "router.bootstrap");
    CHECK(invalidKey("stop_grace_s = 8\nquota_slack =").empty());
    CHECK(invalidKey("stop_grace_s = 8\nquota_slack = 190000").empty());
    CHECK(invalidKey("stop_grace_s = 8\nquota_slack = much") == "bounds.quota_slack");
}

TEST_CASE("Whether groups follow zones is optional and one of two words")
{
    // Guards against settings files without the key that become invalid, and against a misspelt word without effect.
    CHECK(invalidKey("stop_grace_s = 8\n[groups]\nby_zone = auto").empty());
    CHECK(invalidKey("stop_grace_s = 8\n[groups]\nby_zone = never").empty());
    for (const char *word : {"", "Auto", "true", "always"}) {
        CHECK(invalidKey(std::string("stop_grace_s = 8\n[groups]\nby_zone = ") + word) == "groups.by_zone");
    }
}

TEST_CASE("The environment replaces a setting of the file and an empty value leaves it")
{
    RouterSettings settings;
    const auto invalid = [&settings](const std::string &key, const std::string &value) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_AUTO(changed, withSetting(settings, key, value));
                settings = changed;
                return std::string();
            },
            [](const InvalidSetting &fault) { return fault.key; }, [] { return std::string("unknown failure"); });
    };
    CHECK(invalid("bounds.config_ms", "3000").empty());
    CHECK(settings.configBound == Millis(3000));
    CHECK(invalid("bounds.config_ms", "").empty());
    CHECK(settings.configBound == Millis(3000));
    CHECK(invalid("bounds.drain_ms", "soon") == "bounds.drain_ms");
    CHECK(invalid("bounds.config", "3000") == "bounds.config");
}
