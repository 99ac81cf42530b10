#include "configchange.h"

#include "adminclient.h"
#include "commanderrors.h"
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

constexpr Millis LookupInterval{500};

std::optional<std::uint64_t> findChange(const AdminClient &client, const std::string &changeId)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<std::uint64_t>> {
            BOOST_LEAF_AUTO(current, client.get("/admin/config"));
            const Json config = parseBody(current);
            if (stringMember(config, "change_id") == changeId) {
                return std::optional(uintMember(config, "revision"));
            }
            BOOST_LEAF_AUTO(body, client.get("/admin/config/history"));
            for (const Json &revision : arrayMember(parseBody(body), "revisions")) {
                if (stringMember(revision, "change_id") == changeId) {
                    return std::optional(uintMember(revision, "revision"));
                }
            }
            return std::optional<std::uint64_t>();
        },
        [] { return std::optional<std::uint64_t>(); });
}

std::optional<std::string> findRevisionText(const std::string &historyBody, std::uint64_t wanted)
{
    if (wanted == 0) {
        // Before the first change, the built-in values are in force, which an empty text represents.
        return "";
    }
    for (const Json &revision : arrayMember(parseBody(historyBody), "revisions")) {
        if (uintMember(revision, "revision") == wanted) {
            return stringMember(revision, "text");
        }
    }
    return std::nullopt;
}

boost::leaf::result<std::uint64_t> findSubmittedRevision(const AdminClient &client, const ConfigChange &change,
                                                         const std::string &detail, Millis lookupTimeout)
{
    const TimePoint deadline = Clock::now() + lookupTimeout;
    do {
        if (const auto revision = findChange(client, change.changeId)) {
            return *revision;
        }
        std::this_thread::sleep_for(LookupInterval);
    } while (Clock::now() < deadline);
    return boost::leaf::new_error(OutcomeUnknown{change.changeId, detail});
}

}

boost::leaf::result<std::uint64_t> submitChange(const AdminClient &client, const ConfigChange &change,
                                                Millis lookupTimeout)
{
    const Json body{{"text", change.text},
                    {"base_revision", change.baseRevision},
                    {"change_id", change.changeId},
                    {"author", change.author}};
    return boost::leaf::try_handle_some(
        [&]() -> boost::leaf::result<std::uint64_t> {
            BOOST_LEAF_AUTO(replyBody, client.post("/admin/config", body.dump()));
            return uintMember(parseBody(replyBody), "revision");
        },
        [&](const EntryErrorReply &reply, const boost::leaf::error_info &info) -> boost::leaf::result<std::uint64_t> {
            if (reply.type == "key-value-unavailable") {
                return findSubmittedRevision(client, change, reply.message, lookupTimeout);
            }
            // Returns the same error id: LEAF would lose a new error of the type that is being handled.
            return info.error();
        },
        [&](const ExchangeBroken &error) -> boost::leaf::result<std::uint64_t> {
            return findSubmittedRevision(client, change, "the connection broke (" + error.detail + ")", lookupTimeout);
        });
}

std::string describeConflict(const ConfigChange &change, const std::string &conflictBody,
                             const std::string &historyBody)
{
    const Json current = jsonMember(parseBody(conflictBody), "current");
    const std::string stored = stringMember(current, "text");
    const std::string base = std::to_string(change.baseRevision);
    const std::string found = std::to_string(uintMember(current, "revision"));
    std::string description = "Conflict: the change is based on revision " + base + ", but revision " + found + " by "
        + stringMember(current, "author") + " is stored.\n";
    if (const auto baseText = findRevisionText(historyBody, change.baseRevision)) {
        return description + "Your change to revision " + base + ":\n" + format(compareConfig(*baseText, change.text))
            + "Stored since revision " + base + ":\n" + format(compareConfig(*baseText, stored));
    }
    return description + "The history no longer holds revision " + base + ". From revision " + found
        + " to your file:\n" + format(compareConfig(stored, change.text));
}

}
