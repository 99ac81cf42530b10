#include "cyclamencross/route/calleraccess.h"

#include "cyclamencross/route/routetable.h"

namespace Cyclamen
{

CallerAccess::CallerAccess(std::string_view apiKey)
{
    // A missing key must not match an empty one in the configuration.
    if (!apiKey.empty()) {
        this->key.emplace(apiKey);
    }
}

CallerAccess::Verdict CallerAccess::check(const std::shared_ptr<const RouteTable> &newest, const RouteConfig &route,
                                          bool isCertain)
{
    if (this->table != newest) {
        this->table = newest;
        this->found = newest && this->key ? newest->workspaceOfKey(*this->key) : nullptr;
    }
    const bool isOpen = !this->hasWorkspaces() || route.isPublic;
    if (isOpen || this->found != nullptr) {
        this->holderTable = this->table;
        this->holder = isOpen && !isCertain ? nullptr : this->found;
    }
    if (isOpen) {
        return Verdict::Granted;
    }
    if (!isCertain) {
        return Verdict::NotCertain;
    }
    if (!this->key) {
        return Verdict::NoKey;
    }
    return this->found != nullptr ? Verdict::Granted : Verdict::UnknownKey;
}

const WorkspaceConfig *CallerAccess::workspace() const
{
    return this->holder;
}

bool CallerAccess::hasWorkspaces() const
{
    return this->table && this->table->hasWorkspaces();
}

const char *refusalReason(CallerAccess::Verdict verdict)
{
    switch (verdict) {
    case CallerAccess::Verdict::NoKey:
        return "no-key";
    case CallerAccess::Verdict::UnknownKey:
        return "unknown-key";
    case CallerAccess::Verdict::NotCertain:
        return "keys-not-certain";
    default:
        return "";
    }
}

int refusalStatus(CallerAccess::Verdict verdict)
{
    return verdict == CallerAccess::Verdict::NotCertain ? 503 : 401;
}

}
