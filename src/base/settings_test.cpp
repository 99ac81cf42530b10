#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/settings.h"

#include <cstdio>
#include <fstream>
#include <optional>
#include <vector>

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

using namespace Cyclamen;

namespace
{

const std::string CompleteFile = "[entry]\nname = entry-1\nregion = sk-north\nzone = zilina-a\n"
                                 "[listen]\ncaller = 127.0.0.1:8080\nadmin = 127.0.0.1:8081\ngossip = 127.0.0.1:8082\n"
                                 "[platform]\nkey_value = 127.0.0.1:2379\nhosts = 127.0.0.1:2380\n"
                                 "[peers]\nshared_key = 0123456789abcdef0123456789abcdef\n";
constexpr int CompleteFileLines = 13;

struct LoadResult
{
    std::optional<Settings> settings;
    InvalidSetting error;
};

LoadResult load(const std::string &text)
{
    const std::string path = "/tmp/cyclamencross-settings-" + std::to_string(::getpid()) + ".ini";
    std::ofstream(path) << text;
    LoadResult result;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_ASSIGN(result.settings, loadSettings(path));
            return {};
        },
        [&](const InvalidSetting &error) { result.error = error; }, [] { FAIL("untyped failure"); });
    std::remove(path.c_str());
    return result;
}

std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

TEST_CASE("a complete settings file is read with units and comments")
{
    const LoadResult result =
        load(CompleteFile + "join = 127.0.0.1:9001, 127.0.0.1:9002 ; both seeds\n# limits\n[limits]\n"
             + "max_body = 2 MiB\n[timeouts]\nconnect = 300ms\nidle = 4s\n");
    REQUIRE(result.settings);
    CHECK(result.settings->zone == "zilina-a");
    CHECK(result.settings->joinAddresses == std::vector<std::string>{"127.0.0.1:9001", "127.0.0.1:9002"});
    CHECK(result.settings->maxBodyBytes == 2U << 20U);
    CHECK(result.settings->connectTimeout == Millis(300));
    CHECK(result.settings->idleTimeout == Millis(4000));
}

// Guards against an entry that starts with another value than its operator intended, such as one with a missing unit, a
// misspelled key or an out-of-range value.
TEST_CASE("an invalid setting is reported with its line and key")
{
    struct Case
    {
        std::string text;
        std::string key;
        int line;
    };
    const int next = CompleteFileLines + 1;
    const std::vector<Case> cases{
        {CompleteFile + "colour = red\n", "peers.colour", next},
        {CompleteFile + "[extras]\n", "extras", next},
        {"name = entry-1\n" + CompleteFile, "", 1},
        {CompleteFile + "shared_key = 0123456789abcdef0123456789abcdef\n", "peers.shared_key", next},
        {CompleteFile + "[timeouts]\nconnect = 300\n", "timeouts.connect", next + 1},
        {CompleteFile + "[timeouts]\nconnect = 300min\n", "timeouts.connect", next + 1},
        {CompleteFile + "[timeouts]\nconnect = -1s\n", "timeouts.connect", next + 1},
        {CompleteFile + "[timeouts]\nconnect = 99999999999999999999s\n", "timeouts.connect", next + 1},
        {CompleteFile + "[timeouts]\nconnect = 11s\n", "timeouts.connect", next + 1},
        {CompleteFile + "[timeouts]\nprobe_timeout = 500ms\n", "timeouts.probe_timeout", next + 1},
        {CompleteFile + "[limits]\nmax_body = 8\n", "limits.max_body", next + 1},
        {CompleteFile + "[limits]\nmax_body = 300MiB\n", "limits.max_body", next + 1},
        {CompleteFile + "[limits]\nmax_connections = many\n", "limits.max_connections", next + 1},
        {CompleteFile + "[limits]\nadmin_threads = 8s\n", "limits.admin_threads", next + 1},
        {CompleteFile + "join = seed.example:9001\n", "peers.join", next},
        {CompleteFile + "join = 127.0.0.1:9001,\n", "peers.join", next},
        {CompleteFile + "no assignment here\n", "", next},
        {CompleteFile + std::string(5000, '#') + "\n", "", next},
        {replaceFirst(CompleteFile, "127.0.0.1:8080", "localhost:8080"), "listen.caller", 6},
        {replaceFirst(CompleteFile, "127.0.0.1:8080", "0.0.0.0:8080"), "listen.caller", 6},
        {replaceFirst(CompleteFile, "127.0.0.1:8080", "127.0.0.1:70000"), "listen.caller", 6},
        {replaceFirst(CompleteFile, "127.0.0.1:8081", "127.0.0.1:8080"), "listen.admin", 7},
        {replaceFirst(CompleteFile, "entry-1", "entry.1"), "entry.name", 2},
        {replaceFirst(CompleteFile, "89abcdef0123456789abcdef", "short"), "peers.shared_key", 13},
        {replaceFirst(CompleteFile, "region = sk-north\n", ""), "entry.region", 0},
    };
    for (const Case &example : cases) {
        INFO(example.text.substr(0, 600));
        const LoadResult result = load(example.text);
        CHECK_FALSE(result.settings);
        CHECK(result.error.key == example.key);
        CHECK(result.error.line == example.line);
        CHECK_FALSE(result.error.expected.empty());
    }
}

TEST_CASE("an empty file is reported as an unreadable settings file")
{
    CHECK(load("").error.expected == "a readable file that is not empty");
}
