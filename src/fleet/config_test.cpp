#include "configsync.h"
#include "fakekeyvalue.h"

#include "cyclamencross/base/metrics.h"
#include "cyclamencross/decide/effectivedefaults.h"
#include "cyclamencross/fleet/configtext.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Cyclamen;

namespace
{

const std::string Valid = "[change]\nrevision = 3\nid = c3\nauthor = ana\n"
                          "[defaults]\nfirst_token_target = 500ms\nretry_budget = 0.1\n"
                          "[exception slow-logs]\nscope = workspace\nsubject = field-desk\nkey = first_token_target\n"
                          "value = 2s\nreason = long logs\nexpiry = 2026-12-31T00:00:00Z\n"
                          "[exception zone]\nscope = zone\nsubject = burera\nkey = max_tokens\nvalue = 100\n"
                          "reason = thin link\n";

FleetConfig parsed(const std::string &text)
{
    const auto config = parseConfig(text, "test");
    REQUIRE(config);
    return *config;
}

InvalidSetting faultOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<InvalidSetting> {
            BOOST_LEAF_CHECK(parseConfig(text, "fleet.ini"));
            return InvalidSetting{"none", 0, "", ""};
        },
        [](const InvalidSetting &fault) { return fault; },
        [] {
            return InvalidSetting{"other", 0, "", ""};
        });
}

// The configuration components of one entry.
struct Entry
{
    explicit Entry(FakeKeyValue &service)
        : client(service.call(), metrics)
    {
    }

    // Returns the new revision, 0 on a conflict, and -1 if the service was unavailable.
    std::int64_t apply(std::uint64_t base, const std::string &id, const std::string &text = Valid)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::int64_t> {
                BOOST_LEAF_AUTO(revision, sync.apply(text, base, id, "ana"));
                return std::int64_t(revision);
            },
            [](const RevisionConflict &) { return std::int64_t(0); },
            [](const KeyValueUnavailable &) { return std::int64_t(-1); }, [] { return std::int64_t(-2); });
    }

    Metrics metrics;
    std::vector<std::uint64_t> accepted;
    ConfigStore store{[this](const auto &config) { accepted.push_back(config->revision); }};
    KeyValueClient client;
    ConfigSync sync{store, client};
};

}

// Guards against changes that are accepted despite a typing error, and against errors that are reported without their
// location.
TEST_CASE("an invalid configuration is rejected with file, line, key and expected value")
{
    struct Case
    {
        std::string text;
        int line;
        std::string key;
        std::string expected;
    };
    const std::string reasonless = "[exception e]\nscope = zone\nsubject = a\nkey = max_tokens\nvalue = 1\n";
    const Case cases[] = {
        {"[defaults]\nfirst_token = 1s\n", 2, "first_token", "a key of [defaults]"},
        {"[defaults]\n\nanswer_ttl = 10\n", 3, "answer_ttl", "unit"},
        {"[defaults]\nanswer_ttl = 10 s\n", 2, "answer_ttl", "unit"},
        {"[defaults]\nanswer_ttl = 10h\n", 2, "answer_ttl", "to 300000ms"},
        {"[defaults]\nretry_budget = 1.5\n", 2, "retry_budget", "from 0 to 1"},
        {"[defaults]\nretry_budget = nan\n", 2, "retry_budget", "from 0 to 1"},
        {"[defaults]\nmax_tokens = many\n", 2, "max_tokens", "a whole number"},
        {"[defaults]\nmax_tokens = 1\nmax_tokens = 2\n", 3, "max_tokens", "once"},
        {"[change]\nrevison = 1\n", 2, "revison", "revision, id or author"},
        {"[other]\nkey = 1\n", 2, "key", "the section"},
        {"no equals sign\n", 1, "", "[section], key = value"},
        {reasonless, 4, "reason", "reason"},
        {reasonless + "reason =\n", 4, "reason", "reason"},
        {"[exception e]\nscope = planet\n", 2, "scope", "workspace, model, zone or backend"},
        {"[exception e]\nscope = zone\nsubject = a\nreason = r\nkey = max_tokens\nvalue = 0\n", 6, "value", "from 1"},
        {"[exception e]\nexpiry = tomorrow\n", 2, "expiry", "a time like"},
        {"[change]\nauthor = " + std::string(5000, 'x') + "\n", 2, "", "a line of at most"},
    };
    for (const Case &c : cases) {
        const InvalidSetting fault = faultOf(c.text);
        INFO(c.text);
        CHECK(fault.file == "fleet.ini");
        CHECK(fault.line == c.line);
        CHECK(fault.key == c.key);
        CHECK(fault.expected.find(c.expected) != std::string::npos);
    }
}

// Guards against an exception that applies to other subjects, does not expire, or is overridden by one of a wider
// scope.
TEST_CASE("exceptions apply to their subject until their expiry")
{
    FleetConfig config = parsed(Valid);
    CHECK(parsed(formatConfig(config)) == config);
    const std::int64_t before = *config.exceptions[0].expiry - 1;
    const ConfigSubject subject{"field-desk", "", "burera", ""};
    CHECK(effectiveDefaults(config, subject, before).firstTokenTarget == Millis(2000));
    CHECK(effectiveDefaults(config, subject, before).maxTokens == 100);
    CHECK(effectiveDefaults(config, subject, before + 1).firstTokenTarget == Millis(500));
    CHECK(effectiveDefaults(config, ConfigSubject(), before) == config.defaults);
    config.exceptions.push_back(
        FleetException{ExceptionScope::Zone, "burera", "first_token_target", "9s", "r", "", {}});
    const auto sources = explainDefaults(config, subject, before);
    REQUIRE(sources.size() == 7);
    CHECK(sources[0] == ValueSource{"first_token_target", "2000ms", "workspace field-desk", "long logs", ""});
    CHECK(sources[1].source == "defaults");
}

// Guards against a revision that is reverted, and against two changes that are both accepted for the same base
// revision, while requests and responses are lost and the service is restored to older states.
TEST_CASE("revisions only increase and each base revision has at most one successor")
{
    CHECK(rc::check([] {
        FakeKeyValue service;
        std::vector<std::unique_ptr<Entry>> entries;
        for (int i = 0; i < 3; ++i) {
            entries.push_back(std::make_unique<Entry>(service));
        }
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        service.nextFault = [&random] {
            const auto draw = random() % 6;
            return draw < 3 ? static_cast<FakeKeyValue::Fault>(draw) : FakeKeyValue::Fault::None;
        };
        std::map<std::int64_t, std::string> successors;
        auto backup = service.entries;
        for (int step = 0; step < 30; ++step) {
            Entry &entry = *entries[random() % entries.size()];
            const auto action = random() % 10;
            if (action < 5) {
                const std::string id = "change-" + std::to_string(step);
                const std::int64_t revision = entry.apply(entry.store.current()->revision, id);
                RC_ASSERT(revision >= -1);
                if (revision > 0) {
                    RC_ASSERT(successors.emplace(revision, id).second);
                }
            } else if (action < 8) {
                (void)entry.sync.pull(true);
            } else if (action == 8) {
                // Gossip: the newest configuration reaches this entry from a peer.
                entry.store.accept(*entries[random() % entries.size()]->store.current());
            } else {
                // The service is restored from a backup after every entry has received the newest revision.
                for (const auto &from : entries) {
                    for (const auto &to : entries) {
                        to->store.accept(*from->store.current());
                    }
                }
                service.entries = backup;
            }
            if (random() % 8 == 0) {
                backup = service.entries;
            }
        }
        service.nextFault = nullptr;
        for (const auto &entry : entries) {
            RC_ASSERT(std::is_sorted(entry->accepted.begin(), entry->accepted.end()));
            RC_ASSERT(std::adjacent_find(entry->accepted.begin(), entry->accepted.end()) == entry->accepted.end());
        }
    }));
}

// Guards against reporting a conflict of a change with itself after a response was lost, and against a change that
// overwrites another operator's change.
TEST_CASE("a lost response is resolved by the change id and a concurrent change is a conflict")
{
    FakeKeyValue service;
    Entry one(service);
    Entry two(service);
    int call = 0;
    service.nextFault = [&call] { return ++call == 2 ? FakeKeyValue::Fault::ResponseLost : FakeKeyValue::Fault::None; };
    CHECK(one.apply(0, "first") == 1);
    CHECK(one.apply(0, "first") == 1);
    service.beforeTxn = [&] { CHECK(two.apply(1, "theirs") == 2); };
    CHECK(one.apply(1, "ours") == 0);
    CHECK(one.apply(0, "stale") == 0);
    CHECK(one.store.current()->changeId == "theirs");
    const auto history = one.sync.history();
    REQUIRE(history);
    REQUIRE(history->size() == 2);
    CHECK(parsed(history->front()).changeId == "theirs");
    CHECK(one.apply(2, "two\nlines") == -2);
}

// Guards against a fleet that reverts to an older configuration after the service was restored from a backup.
TEST_CASE("an older stored configuration is replaced by the one in force")
{
    FakeKeyValue service;
    Entry entry(service);
    CHECK(entry.apply(0, "first") == 1);
    const auto backup = service.entries;
    CHECK(entry.apply(1, "second") == 2);
    service.entries = backup;
    CHECK(entry.sync.pull(false));
    CHECK(entry.store.current()->revision == 2);
    CHECK(service.entries.at(ConfigSync::CurrentKey).value == backup.at(ConfigSync::CurrentKey).value);
    CHECK(entry.sync.pull(true));
    CHECK(parsed(service.entries.at(ConfigSync::CurrentKey).value).changeId == "second");
    service.entries.clear();
    CHECK(entry.apply(2, "third") == 3);
}
