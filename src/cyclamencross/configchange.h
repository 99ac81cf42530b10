#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

class AdminClient;

/// A change of the fleet configuration, as submitted by an operator.
struct ConfigChange
{
    std::string text; ///< The complete new configuration as INI text.
    std::uint64_t baseRevision = 0; ///< The revision that the change was made from.
    std::string changeId; ///< Unique id, by which the change is looked up if the reply is lost.
    std::string author;
};

/// Time within which an accepted change takes effect at every entry.
inline constexpr Millis ConfigPropagationTime{10000};

/// Submits @p change once. If the reply is lost, looks up the change id at the entry instead of submitting again.
/// @param lookupTimeout how long to look for the change id.
/// @return the new revision, or EntryErrorReply (status 409 is a conflict), ConnectFailed if nothing was sent, or
/// OutcomeUnknown if the change id was not found in time.
boost::leaf::result<std::uint64_t> submitChange(const AdminClient &client, const ConfigChange &change,
                                                Millis lookupTimeout = ConfigPropagationTime);

/// Returns a description of a conflict: the operator's change and the changes stored in the meantime.
/// @param conflictBody body of the 409 reply.
/// @param historyBody body of `GET /admin/config/history`, for the text of the base revision; may be empty.
std::string describeConflict(const ConfigChange &change, const std::string &conflictBody,
                             const std::string &historyBody);

}
