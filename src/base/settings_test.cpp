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

const std::string Complete = "[entry]\nname = entry-1\nregion = sk-north\nzone = zilina-a\n"
                             "[listen]\ncaller = 127.0.0.1:8080\nadmin = 127.0.0.1:8081\ngossip = 127.0.0.1:8082\n"
                             "[platform]\nkey_value = 127.0.0.1:2379\nhosts = 127.0.0.1:2380\n"
                             "[peers]\nshared_key = 0123456789abcdef0123456789abcdef\n";
constexpr int CompleteLines = 13;

struct Loaded
{
    std::optional<Settings> settings;
    InvalidSetting fault;
};

Loaded load(const std::string &text)
{
    const std::string path = "/tmp/cyclamencross-settings-" + std::to_string(::getpid()) + ".ini";
    std::ofstream(path) << text;
    Loaded loaded;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_ASSIGN(loaded.settings, loadSettings(path));
            return {};
        },
        [&](const InvalidSetting &fault) { loaded.fault = fault; }, [] { FAIL("untyped failure"); });
    std::remove(path.c_str());
    return loaded;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

}

TEST_CASE("a complete settings file is read with units and comments")
{
    const Loaded loaded = load(Complete + "join = 127.0.0.1:9001, 127.0.0.1:9002 ; both seeds\n# limits\n[limits]\n"
                               + "max_body = 2 MiB\n[timeouts]\nconnect = 300ms\nidle = 4s\n");
    REQUIRE(loaded.settings);
    CHECK(loaded.settings->zone == "zilina-a");
    CHECK(loaded.settings->joinAddresses == std::vector<std::string>{"127.0.0.1:9001", "127.0.0.1:9002"});
    CHECK(loaded.settings->maxBodyBytes == 2U << 20U);
    CHECK(loaded.settings->connectTimeout == Millis(300));
    CHECK(loaded.settings->idleTimeout == Millis(4000));
}

// Guards against an entry that starts with a value its operator did not mean.
TEST_CASE("a fault is refused with its line and key")
{
    struct Case
    {
        std::string text;
        std::string key;
        int line;
    };
    const int next = CompleteLines + 1;
    const std::vector<Case> cases{
        {Complete + "colour = red\n", "peers.colour", next},
        {Complete + "[extras]\n", "extras", next},
        {"name = entry-1\n" + Complete, "", 1},
        {Complete + "shared_key = 0123456789abcdef0123456789abcdef\n", "peers.shared_key", next},
        {Complete + "[timeouts]\nconnect = 300\n", "timeouts.connect", next + 1},
        {Complete + "[timeouts]\nconnect = 300min\n", "timeouts.connect", next + 1},
        {Complete + "[timeouts]\nconnect = -1s\n", "timeouts.connect", next + 1},
        {Complete + "[timeouts]\nconnect = 99999999999999999999s\n", "timeouts.connect", next + 1},
        {Complete + "[timeouts]\nconnect = 11s\n", "timeouts.connect", next + 1},
        {Complete + "[timeouts]\nprobe_timeout = 500ms\n", "timeouts.probe_timeout", next + 1},
        {Complete + "[limits]\nmax_body = 8\n", "limits.max_body", next + 1},
        {Complete + "[limits]\nmax_body = 300MiB\n", "limits.max_body", next + 1},
        {Complete + "[limits]\nmax_connections = many\n", "limits.max_connections", next + 1},
        {Complete + "[limits]\nadmin_threads = 8s\n", "limits.admin_threads", next + 1},
        {Complete + "join = seed.example:9001\n", "peers.join", next},
        {Complete + "join = 127.0.0.1:9001,\n", "peers.join", next},
        {Complete + "no assignment here\n", "", next},
        {Complete + std::string(5000, '#') + "\n", "", next},
        {replaced(Complete, "127.0.0.1:8080", "localhost:8080"), "listen.caller", 6},
        {replaced(Complete, "127.0.0.1:8080", "0.0.0.0:8080"), "listen.caller", 6},
        {replaced(Complete, "127.0.0.1:8080", "127.0.0.1:70000"), "listen.caller", 6},
        {replaced(Complete, "127.0.0.1:8081", "127.0.0.1:8080"), "listen.admin", 7},
        {replaced(Complete, "entry-1", "entry.1"), "entry.name", 2},
        {replaced(Complete, "89abcdef0123456789abcdef", "short"), "peers.shared_key", 13},
        {replaced(Complete, "region = sk-north\n", ""), "entry.region", 0},
    };
    for (const Case &example : cases) {
        INFO(example.text.substr(0, 600));
        const Loaded loaded = load(example.text);
        CHECK_FALSE(loaded.settings);
        CHECK(loaded.fault.key == example.key);
        CHECK(loaded.fault.line == example.line);
        CHECK_FALSE(loaded.fault.expected.empty());
    }
}

TEST_CASE("a file that can't be read is an invalid setting")
{
    CHECK(load("").fault.expected == "a readable file that is not empty");
}
