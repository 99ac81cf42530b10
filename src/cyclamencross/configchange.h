#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

class AdminClient;

/// A change of the fleet configuration as an operator submits it.
struct ConfigChange
{
    std::string text; ///< The whole new configuration as INI.
    std::uint64_t baseRevision = 0; ///< The revision that the operator read.
    std::string changeId; ///< Unique; finds the change again if its answer is lost.
    std::string author;
};

/// An accepted change is in force at every entry within this time.
inline constexpr Millis ChangeSpreadTime{10000};

/// Submits @p change once. If the answer is lost, it looks for the change id at the entry and never submits again.
/// @param resolveTime how long to look for the change id.
/// @return the new revision; EntryRefusal, in particular with status 409 for a conflict; ConnectFailed if nothing was
/// sent; OutcomeUnknown if the change id was not found in time.
boost::leaf::result<std::uint64_t> submitChange(const AdminClient &client, const ConfigChange &change,
                                                Millis resolveTime = ChangeSpreadTime);

/// Describes a conflict: the operator's change and what was stored meanwhile.
/// @param conflictBody body of the 409 answer.
/// @param historyBody body of `GET /admin/config/history`, for the text of the base revision; may be empty.
std::string describeConflict(const ConfigChange &change, const std::string &conflictBody,
                             const std::string &historyBody);

}
