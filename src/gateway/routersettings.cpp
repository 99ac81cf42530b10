#include "cyclamencross/gateway/routersettings.h"

#include "cyclamencross/base/errors.h"
#include "cyclamencross/base/inifile.h"
#include "cyclamencross/base/ipport.h"

#include <charconv>
#include <functional>
#include <map>
#include <optional>

#include <boost/leaf/error.hpp>

namespace Cyclamen
{

namespace
{

// Validation of one key of the settings file.
struct SettingRule
{
    bool required = true;
    std::string expected; ///< Completes "expected ..." in error messages.
    /// Stores the value; returns whether it is valid.
    std::function<bool(RouterSettings &, const std::string &)> assign;
};

SettingRule textRule(std::string RouterSettings::*member)
{
    return SettingRule{true, "a text", [member](RouterSettings &settings, const std::string &value) {
                           settings.*member = value;
                           return !value.empty();
                       }};
}

SettingRule addressRule(std::string RouterSettings::*member, bool required)
{
    return SettingRule{required, "IP:PORT", [member, required](RouterSettings &settings, const std::string &value) {
                           settings.*member = value;
                           return (!required && value.empty()) || parseIpPort(value).has_value();
                       }};
}

// Accepts fractions, since the platform may use them for any number that it states.
std::optional<double> parseFraction(const std::string &value, double minimum, double maximum)
{
    double number = -1;
    const auto end = std::from_chars(value.data(), value.data() + value.size(), number).ptr;
    const bool valid = end == value.data() + value.size() && number >= minimum && number <= maximum;
    return valid ? std::optional(number) : std::nullopt;
}

// Rounds a fraction down, so that the router keeps within a limit.
SettingRule sizeRule(std::size_t RouterSettings::*member, std::uint32_t minimum, std::uint32_t maximum)
{
    return SettingRule{true, "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum),
                       [member, minimum, maximum](RouterSettings &settings, const std::string &value) {
                           const auto number = parseFraction(value, minimum, maximum);
                           settings.*member = std::size_t(number.value_or(0));
                           return number.has_value();
                       }};
}

SettingRule fractionRule(std::function<void(RouterSettings &settings, double number)> assign)
{
    return SettingRule{true, "a number from 0 to 1000000",
                       [assign = std::move(assign)](RouterSettings &settings, const std::string &value) {
                           const auto number = parseFraction(value, 0, 1000000);
                           if (number) {
                               assign(settings, *number);
                           }
                           return number.has_value();
                       }};
}

SettingRule durationRule(Millis RouterSettings::*member, double millisPerUnit)
{
    return fractionRule([member, millisPerUnit](RouterSettings &settings, double number) {
        settings.*member = Millis(std::int64_t(number * millisPerUnit));
    });
}

SettingRule ratioRule(double RouterSettings::*member)
{
    return fractionRule([member](RouterSettings &settings, double number) { settings.*member = number; });
}

// Makes a setting optional: it may be missing or empty and then keeps its default.
SettingRule optionalRule(SettingRule rule)
{
    rule.required = false;
    rule.assign = [assign = std::move(rule.assign)](RouterSettings &settings, const std::string &value) {
        return value.empty() || assign(settings, value);
    };
    return rule;
}

SettingRule flagRule(bool RouterSettings::*member)
{
    return SettingRule{true, "true or false", [member](RouterSettings &settings, const std::string &value) {
                           settings.*member = value == "true";
                           return value == "true" || value == "false";
                       }};
}

SettingRule choiceRule(bool RouterSettings::*member, const std::string &yes, const std::string &no)
{
    return SettingRule{false, yes + " or " + no, [=](RouterSettings &settings, const std::string &value) {
                           settings.*member = value == yes;
                           return value == yes || value == no;
                       }};
}

const std::map<std::string, SettingRule> &rules()
{
    static const std::map<std::string, SettingRule> Rules{
        {"router.name", textRule(&RouterSettings::name)},
        {"router.zone", textRule(&RouterSettings::zone)},
        {"router.bootstrap", optionalRule(flagRule(&RouterSettings::bootstrap))},
        {"listen.callers", addressRule(&RouterSettings::callerAddress, true)},
        {"listen.ready", addressRule(&RouterSettings::readyAddress, true)},
        {"listen.directory", addressRule(&RouterSettings::directoryAddress, false)},
        {"listen.peers", addressRule(&RouterSettings::peerAddress, true)},
        {"listen.metrics", addressRule(&RouterSettings::metricsAddress, false)},
        {"store.address", addressRule(&RouterSettings::storeAddress, true)},
        {"store.min_lease_ms", durationRule(&RouterSettings::minLeaseLifetime, 1)},
        {"groups.by_zone", choiceRule(&RouterSettings::groupsByZone, "auto", "never")},
        {"limits.memory_mib", sizeRule(&RouterSettings::memoryMiB, 32, 1U << 20U)},
        {"limits.descriptors", sizeRule(&RouterSettings::descriptors, 64, 1U << 24U)},
        {"limits.link_mbps", optionalRule(ratioRule(&RouterSettings::linkMegabits))},
        {"bounds.config_ms", optionalRule(durationRule(&RouterSettings::configBound, 1))},
        {"bounds.drain_ms", optionalRule(durationRule(&RouterSettings::drainBound, 1))},
        {"bounds.stop_grace_s", durationRule(&RouterSettings::stopGrace, 1000)},
        {"bounds.heartbeat_ms", durationRule(&RouterSettings::heartbeatPeriod, 1)},
        {"bounds.retry_ratio", ratioRule(&RouterSettings::retryRatio)},
        {"bounds.retry_slack", ratioRule(&RouterSettings::retrySlack)},
        {"bounds.quota_slack", optionalRule(ratioRule(&RouterSettings::quotaSlack))},
        {"bounds.retry_window_s", durationRule(&RouterSettings::retryWindow, 1000)},
        {"bounds.order_pause_ms", durationRule(&RouterSettings::orderPause, 1)},
        {"bounds.revoke_ms", optionalRule(durationRule(&RouterSettings::revokeTime, 1))},
        {"bounds.strict_revoke", optionalRule(flagRule(&RouterSettings::strictRevoke))},
        {"bounds.answer_ttl_max_s", durationRule(&RouterSettings::maxAddressTtl, 1000)},
    };
    return Rules;
}

}

std::size_t RouterSettings::bodyMemoryBytes() const
{
    return std::size_t(double(this->memoryMiB << 20U) * BodyMemoryShare);
}

boost::leaf::result<RouterSettings> loadRouterSettings(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readTextFile(path));
    BOOST_LEAF_AUTO(entries, parseIni(text, path));
    RouterSettings settings;
    std::map<std::string, bool> seen;
    for (const IniEntry &entry : entries) {
        const std::string key = entry.section + "." + entry.key;
        const auto rule = rules().find(key);
        if (rule == rules().end()) {
            continue;
        }
        seen[key] = true;
        if (!rule->second.assign(settings, entry.value)) {
            return boost::leaf::new_error(InvalidSetting{path, entry.line, key, rule->second.expected});
        }
    }
    for (const auto &[key, rule] : rules()) {
        if (rule.required && !seen.contains(key)) {
            return boost::leaf::new_error(InvalidSetting{path, 0, key, rule.expected + "; the key is missing"});
        }
    }
    return settings;
}

boost::leaf::result<RouterSettings> withSetting(RouterSettings settings, const std::string &key,
                                                const std::string &value)
{
    const auto rule = rules().find(key);
    if (rule == rules().end() || !rule->second.assign(settings, value)) {
        const std::string expected = rule == rules().end() ? "a known setting" : rule->second.expected;
        return boost::leaf::new_error(InvalidSetting{"environment", 0, key, expected});
    }
    return settings;
}

}
