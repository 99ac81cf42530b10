#include "cyclamencross/base/settingsbuilder.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/number.h"

#include "settingvalue.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <boost/leaf/error.hpp>

namespace Cyclamen
{

namespace
{

// One key of the settings file.
struct Rule
{
    std::string section;
    std::string key;
    bool required = false;
    std::string expected; ///< Completes "expected ..." in error reports.
    std::function<bool(Settings &, const std::string &)> assign; ///< Returns whether the value was accepted.

    std::string name() const
    {
        return this->section + "." + this->key;
    }
};

Rule nameRule(const std::string &section, const std::string &key, std::string Settings::*member)
{
    return Rule{section, key, true, "1 to 48 letters, digits, '-' and '_'",
                [member](Settings &settings, const std::string &value) {
                    settings.*member = value;
                    return isPlainName(value);
                }};
}

Rule addressRule(const std::string &section, const std::string &key, std::string Settings::*member)
{
    return Rule{section, key, true, "IP:PORT with an IPv4 address other than 0.0.0.0 and a port from 1 to 65535",
                [member](Settings &settings, const std::string &value) {
                    settings.*member = value;
                    return isReachableAddress(value);
                }};
}

Rule numberRule(const std::string &key, std::size_t Settings::*member, std::size_t least, std::size_t most)
{
    return Rule{"limits", key, false,
                "a whole number without a unit from " + std::to_string(least) + " to " + std::to_string(most),
                [member, least, most](Settings &settings, const std::string &value) {
                    const auto number = parseNumber(value);
                    settings.*member = std::size_t(number.value_or(0));
                    return number && *number >= least && *number <= most;
                }};
}

Rule durationRule(const std::string &key, Millis Settings::*member, Millis least, Millis most)
{
    return Rule{"timeouts", key, false,
                "a duration in ms or s from " + std::to_string(least.count()) + "ms to " + std::to_string(most.count())
                    + "ms",
                [member, least, most](Settings &settings, const std::string &value) {
                    const auto duration = parseDuration(value);
                    settings.*member = duration.value_or(Millis(0));
                    return duration && *duration >= least && *duration <= most;
                }};
}

Rule bodyRule()
{
    return Rule{"limits", "max_body", false, "a size in KiB or MiB from 1KiB to 256MiB",
                [](Settings &settings, const std::string &value) {
                    const auto size = parseSize(value);
                    settings.maxBodyBytes = std::size_t(size.value_or(0));
                    return size && *size >= (1U << 10U) && *size <= (256U << 20U);
                }};
}

Rule joinRule()
{
    return Rule{"peers", "join", false, "a comma-separated list of IP:PORT",
                [](Settings &settings, const std::string &value) {
                    const auto addresses = parseAddressList(value);
                    settings.joinAddresses = addresses.value_or(std::vector<std::string>());
                    return addresses.has_value();
                }};
}

Rule sharedKeyRule()
{
    return Rule{"peers", "shared_key", true, "32 to 256 characters", [](Settings &settings, const std::string &value) {
                    settings.sharedKey = value;
                    return value.size() >= 32 && value.size() <= 256;
                }};
}

std::vector<Rule> makeRules()
{
    return {
        nameRule("entry", "name", &Settings::name),
        nameRule("entry", "region", &Settings::region),
        nameRule("entry", "zone", &Settings::zone),
        addressRule("listen", "caller", &Settings::callerAddress),
        addressRule("listen", "admin", &Settings::adminAddress),
        addressRule("listen", "gossip", &Settings::gossipAddress),
        addressRule("platform", "key_value", &Settings::keyValueAddress),
        addressRule("platform", "hosts", &Settings::hostListAddress),
        joinRule(),
        sharedKeyRule(),
        bodyRule(),
        numberRule("max_connections", &Settings::maxConnections, 1, 20000),
        // Fewer than 4 threads can be taken up by forwarded calls, and the port must still answer operators.
        numberRule("admin_threads", &Settings::adminThreads, 4, 512),
        durationRule("connect", &Settings::connectTimeout, Millis(10), Millis(10000)),
        durationRule("idle", &Settings::idleTimeout, Millis(100), Millis(600000)),
        durationRule("backend", &Settings::backendTimeout, Millis(100), Millis(600000)),
        durationRule("key_value", &Settings::keyValueTimeout, Millis(20), Millis(30000)),
        // A leaving backend server must be without new work within 5 s.
        durationRule("host_list_period", &Settings::hostListPeriod, Millis(50), Millis(4000)),
        durationRule("probe_period", &Settings::probePeriod, Millis(50), Millis(30000)),
        durationRule("probe_timeout", &Settings::probeTimeout, Millis(10), Millis(10000)),
        durationRule("suspicion", &Settings::suspicion, Millis(100), Millis(600000)),
        durationRule("isolated_after", &Settings::isolatedAfter, Millis(200), Millis(600000)),
        durationRule("drain_margin", &Settings::drainMargin, Millis(0), Millis(600000)),
        durationRule("load_poll_period", &Settings::loadPollPeriod, Millis(20), Millis(10000)),
        durationRule("orphan_sweep_period", &Settings::orphanSweepPeriod, Millis(50), Millis(60000)),
    };
}

const std::vector<Rule> &rules()
{
    static const std::vector<Rule> All = makeRules();
    return All;
}

bool hasSection(const std::string &name)
{
    return std::any_of(rules().begin(), rules().end(), [&](const Rule &rule) { return rule.section == name; });
}

}

SettingsBuilder::SettingsBuilder(std::string file)
    : file(std::move(file))
{
}

boost::leaf::result<void> SettingsBuilder::section(const std::string &name, int line) const
{
    if (!hasSection(name)) {
        return boost::leaf::new_error(
            InvalidSetting{this->file, line, name,
                           "one of the sections [entry], [listen], [platform], [peers], [limits] and [timeouts]"});
    }
    return {};
}

boost::leaf::result<void> SettingsBuilder::set(const std::string &section, const std::string &key,
                                               const std::string &value, int line)
{
    auto known = this->section(section, line);
    if (!known) {
        return known.error();
    }
    const auto rule = std::find_if(rules().begin(), rules().end(), [&](const Rule &candidate) {
        return candidate.section == section && candidate.key == key;
    });
    if (rule == rules().end()) {
        return boost::leaf::new_error(
            InvalidSetting{this->file, line, section + "." + key, "a key that section [" + section + "] has"});
    }
    const auto [earlier, isNew] = this->lines.emplace(rule->name(), line);
    if (!isNew) {
        return boost::leaf::new_error(
            InvalidSetting{this->file, line, rule->name(),
                           "the key once only; it is also set in line " + std::to_string(earlier->second)});
    }
    if (!rule->assign(this->settings, value)) {
        return boost::leaf::new_error(InvalidSetting{this->file, line, rule->name(), rule->expected});
    }
    return {};
}

boost::leaf::result<Settings> SettingsBuilder::build() const
{
    for (const Rule &rule : rules()) {
        if (rule.required && !this->lines.contains(rule.name())) {
            return boost::leaf::new_error(
                InvalidSetting{this->file, 0, rule.name(), "the key to be set to " + rule.expected});
        }
    }
    const auto conflict = [this](const std::string &key, const std::string &expected) {
        const auto line = this->lines.find(key);
        return boost::leaf::new_error(
            InvalidSetting{this->file, line == this->lines.end() ? 0 : line->second, key, expected});
    };
    if (this->settings.adminAddress == this->settings.callerAddress) {
        return conflict("listen.admin", "an address other than listen.caller");
    }
    if (this->settings.probeTimeout >= this->settings.probePeriod) {
        return conflict("timeouts.probe_timeout", "a duration shorter than timeouts.probe_period");
    }
    if (this->settings.hostListPeriod >= this->settings.isolatedAfter) {
        return conflict("timeouts.isolated_after", "a duration longer than timeouts.host_list_period");
    }
    return this->settings;
}

}
