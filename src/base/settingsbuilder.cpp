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

// Describes one key of the settings file: whether it is required, and how its value is checked and stored.
struct SettingSpec
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

SettingSpec nameSpec(const std::string &section, const std::string &key, std::string Settings::*member)
{
    return SettingSpec{section, key, true, "1 to 48 letters, digits, '-' and '_'",
                       [member](Settings &settings, const std::string &value) {
                           settings.*member = value;
                           return isValidName(value);
                       }};
}

SettingSpec addressSpec(const std::string &section, const std::string &key, std::string Settings::*member)
{
    return SettingSpec{section, key, true, "IP:PORT with an IPv4 address other than 0.0.0.0 and a port from 1 to 65535",
                       [member](Settings &settings, const std::string &value) {
                           settings.*member = value;
                           return isConnectableAddress(value);
                       }};
}

SettingSpec numberSpec(const std::string &key, std::size_t Settings::*member, std::size_t minimum, std::size_t maximum)
{
    return SettingSpec{"limits", key, false,
                       "a whole number without a unit from " + std::to_string(minimum) + " to "
                           + std::to_string(maximum),
                       [member, minimum, maximum](Settings &settings, const std::string &value) {
                           const auto number = parseNumber(value);
                           settings.*member = std::size_t(number.value_or(0));
                           return number && *number >= minimum && *number <= maximum;
                       }};
}

SettingSpec durationSpec(const std::string &key, Millis Settings::*member, Millis minimum, Millis maximum)
{
    return SettingSpec{"timeouts", key, false,
                       "a duration in ms or s from " + std::to_string(minimum.count()) + "ms to "
                           + std::to_string(maximum.count()) + "ms",
                       [member, minimum, maximum](Settings &settings, const std::string &value) {
                           const auto duration = parseDuration(value);
                           settings.*member = duration.value_or(Millis(0));
                           return duration && *duration >= minimum && *duration <= maximum;
                       }};
}

SettingSpec maxBodySpec()
{
    return SettingSpec{"limits", "max_body", false, "a size in KiB or MiB from 1KiB to 256MiB",
                       [](Settings &settings, const std::string &value) {
                           const auto size = parseSize(value);
                           settings.maxBodyBytes = std::size_t(size.value_or(0));
                           return size && *size >= (1U << 10U) && *size <= (256U << 20U);
                       }};
}

SettingSpec joinSpec()
{
    return SettingSpec{"peers", "join", false, "a comma-separated list of IP:PORT",
                       [](Settings &settings, const std::string &value) {
                           const auto addresses = parseAddressList(value);
                           settings.joinAddresses = addresses.value_or(std::vector<std::string>());
                           return addresses.has_value();
                       }};
}

SettingSpec sharedKeySpec()
{
    return SettingSpec{"peers", "shared_key", true, "32 to 256 characters",
                       [](Settings &settings, const std::string &value) {
                           settings.sharedKey = value;
                           return value.size() >= 32 && value.size() <= 256;
                       }};
}

std::vector<SettingSpec> makeSettingSpecs()
{
    return {
        nameSpec("entry", "name", &Settings::name),
        nameSpec("entry", "region", &Settings::region),
        nameSpec("entry", "zone", &Settings::zone),
        addressSpec("listen", "caller", &Settings::callerAddress),
        addressSpec("listen", "admin", &Settings::adminAddress),
        addressSpec("listen", "gossip", &Settings::gossipAddress),
        addressSpec("platform", "key_value", &Settings::keyValueAddress),
        addressSpec("platform", "hosts", &Settings::hostListAddress),
        joinSpec(),
        sharedKeySpec(),
        maxBodySpec(),
        numberSpec("max_connections", &Settings::maxConnections, 1, 20000),
        // Calls forwarded by peers could occupy all of fewer than 4 threads, and operators must still get replies.
        numberSpec("admin_threads", &Settings::adminThreads, 4, 512),
        durationSpec("connect", &Settings::connectTimeout, Millis(10), Millis(10000)),
        durationSpec("idle", &Settings::idleTimeout, Millis(100), Millis(600000)),
        durationSpec("backend", &Settings::backendTimeout, Millis(100), Millis(600000)),
        durationSpec("key_value", &Settings::keyValueTimeout, Millis(20), Millis(30000)),
        // Below 5 s: a backend server that is leaving must stop receiving new work within that time.
        durationSpec("host_list_period", &Settings::hostListPeriod, Millis(50), Millis(4000)),
        durationSpec("probe_period", &Settings::probePeriod, Millis(50), Millis(30000)),
        durationSpec("probe_timeout", &Settings::probeTimeout, Millis(10), Millis(10000)),
        durationSpec("suspicion", &Settings::suspicion, Millis(100), Millis(600000)),
        durationSpec("isolated_after", &Settings::isolatedAfter, Millis(200), Millis(600000)),
        durationSpec("drain_margin", &Settings::drainMargin, Millis(0), Millis(600000)),
        durationSpec("load_poll_period", &Settings::loadPollPeriod, Millis(20), Millis(10000)),
        durationSpec("orphan_sweep_period", &Settings::orphanSweepPeriod, Millis(50), Millis(60000)),
    };
}

const std::vector<SettingSpec> &settingSpecs()
{
    static const std::vector<SettingSpec> All = makeSettingSpecs();
    return All;
}

bool hasSection(const std::string &name)
{
    return std::any_of(settingSpecs().begin(), settingSpecs().end(),
                       [&](const SettingSpec &spec) { return spec.section == name; });
}

}

SettingsBuilder::SettingsBuilder(std::string file)
    : file(std::move(file))
{
}

boost::leaf::result<void> SettingsBuilder::checkSection(const std::string &name, int line) const
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
    auto known = this->checkSection(section, line);
    if (!known) {
        return known.error();
    }
    const auto spec = std::find_if(settingSpecs().begin(), settingSpecs().end(), [&](const SettingSpec &candidate) {
        return candidate.section == section && candidate.key == key;
    });
    if (spec == settingSpecs().end()) {
        return boost::leaf::new_error(
            InvalidSetting{this->file, line, section + "." + key, "a known key of section [" + section + "]"});
    }
    const auto [earlier, isNew] = this->lines.emplace(spec->name(), line);
    if (!isNew) {
        return boost::leaf::new_error(
            InvalidSetting{this->file, line, spec->name(),
                           "the key only once; it is already set in line " + std::to_string(earlier->second)});
    }
    if (!spec->assign(this->settings, value)) {
        return boost::leaf::new_error(InvalidSetting{this->file, line, spec->name(), spec->expected});
    }
    return {};
}

boost::leaf::result<Settings> SettingsBuilder::build() const
{
    for (const SettingSpec &spec : settingSpecs()) {
        if (spec.required && !this->lines.contains(spec.name())) {
            return boost::leaf::new_error(
                InvalidSetting{this->file, 0, spec.name(), "the key to be set to " + spec.expected});
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
