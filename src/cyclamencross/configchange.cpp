#include "configchange.h"

#include "adminclient.h"
#include "adminfailures.h"
#include "configdiff.h"
#include "jsonbody.h"

#include "cyclamencross/base/failures.h"

#include <optional>
#include <thread>

#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

constexpr Millis ResolvePeriod{500};

std::optional<std::uint64_t> findChange(const AdminClient &client, const std::string &changeId)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<std::uint64_t>> {
            BOOST_LEAF_AUTO(current, client.get("/admin/config"));
            const Json config = parseBody(current);
            if (text(config, "change_id") == changeId) {
                return std::optional(number(config, "revision"));
            }
            BOOST_LEAF_AUTO(body, client.get("/admin/config/history"));
            for (const Json &revision : list(parseBody(body), "revisions")) {
                if (text(revision, "change_id") == changeId) {
                    return std::optional(number(revision, "revision"));
                }
            }
            return std::optional<std::uint64_t>();
        },
        [] { return std::optional<std::uint64_t>(); });
}

std::optional<std::string> findText(const std::string &historyBody, std::uint64_t wanted)
{
    if (wanted == 0) {
        // Before the first change, the built-in values are in force, which an empty text stands for.
        return "";
    }
    for (const Json &revision : list(parseBody(historyBody), "revisions")) {
        if (number(revision, "revision") == wanted) {
            return text(revision, "text");
        }
    }
    return std::nullopt;
}

boost::leaf::result<std::uint64_t> resolve(const AdminClient &client, const ConfigChange &change,
                                           const std::string &detail, Millis resolveTime)
{
    const TimePoint end = Clock::now() + resolveTime;
    do {
        if (const auto revision = findChange(client, change.changeId)) {
            return *revision;
        }
        std::this_thread::sleep_for(ResolvePeriod);
    } while (Clock::now() < end);
    return boost::leaf::new_error(OutcomeUnknown{change.changeId, detail});
}

}

boost::leaf::result<std::uint64_t> submitChange(const AdminClient &client, const ConfigChange &change,
                                                Millis resolveTime)
{
    const Json body{{"text", change.text},
                    {"base_revision", change.baseRevision},
                    {"change_id", change.changeId},
                    {"author", change.author}};
    return boost::leaf::try_handle_some(
        [&]() -> boost::leaf::result<std::uint64_t> {
            BOOST_LEAF_AUTO(answer, client.post("/admin/config", body.dump()));
            return number(parseBody(answer), "revision");
        },
        [&](const EntryRefusal &refusal, const boost::leaf::error_info &info) -> boost::leaf::result<std::uint64_t> {
            if (refusal.type == "key-value-unavailable") {
                return resolve(client, change, refusal.message, resolveTime);
            }
            // The same error id goes on: LEAF would lose a new failure of the type that is being handled.
            return info.error();
        },
        [&](const ExchangeBroken &fault) -> boost::leaf::result<std::uint64_t> {
            return resolve(client, change, "the connection broke (" + fault.detail + ")", resolveTime);
        });
}

std::string describeConflict(const ConfigChange &change, const std::string &conflictBody,
                             const std::string &historyBody)
{
    const Json current = member(parseBody(conflictBody), "current");
    const std::string stored = text(current, "text");
    const std::string base = std::to_string(change.baseRevision);
    const std::string found = std::to_string(number(current, "revision"));
    std::string description = "Conflict: the change is based on revision " + base + ", but revision " + found + " by "
        + text(current, "author") + " is stored.\n";
    if (const auto baseText = findText(historyBody, change.baseRevision)) {
        return description + "Your change to revision " + base + ":\n" + format(compareConfig(*baseText, change.text))
            + "Stored since revision " + base + ":\n" + format(compareConfig(*baseText, stored));
    }
    return description + "The history no longer holds revision " + base + ". From revision " + found
        + " to your file:\n" + format(compareConfig(stored, change.text));
}

}
