#pragma once

#include "cyclamencross/route/apikeyhash.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace Cyclamen
{

class RouteTable;
struct RouteConfig;
struct WorkspaceConfig;

/// Decides for one request, as often as it is about to be sent, whether its API key lets it use its route by the newest
/// configuration, and to which workspace it belongs.
class CallerAccess
{
public:
    enum class Verdict : std::uint8_t {
        Granted,
        NoKey, ///< The route needs a key and the request has none.
        UnknownKey, ///< The route needs a key and no workspace holds the one of the request.
        NotCertain, ///< The route needs a key, and the configuration may be too old to tell who holds it.
    };

    /// @param apiKey key of the caller; empty if it sent none. Only its hash is kept.
    explicit CallerAccess(std::string_view apiKey);

    /// Checks the request against the newest configuration. Cheap while it is the one of the last call.
    /// @param route route of the request; public routes need no key.
    /// @param isCertain whether @p newest is recent enough to decide by. If it is not, no key belongs to a workspace.
    Verdict check(const std::shared_ptr<const RouteTable> &newest, const RouteConfig &route, bool isCertain);
    /// Returns the workspace by the last check that found the key, or that granted the request; nullptr if the request
    /// belongs to none. Valid until the next check.
    const WorkspaceConfig *workspace() const;
    /// Returns whether the configuration of the last check has workspaces.
    bool hasWorkspaces() const;

private:
    std::optional<ApiKeyHash> key; ///< Unset if the caller sent none.
    std::shared_ptr<const RouteTable> table; ///< Of the last check.
    const WorkspaceConfig *found = nullptr; ///< Workspace that holds the key by `table`.
    std::shared_ptr<const RouteTable> holderTable; ///< Owns `holder`.
    const WorkspaceConfig *holder = nullptr; ///< See workspace().
};

/// Returns the name of a refusal for logs and metrics.
const char *refusalReason(CallerAccess::Verdict verdict);
/// Returns the HTTP status of a refusal.
int refusalStatus(CallerAccess::Verdict verdict);

}
