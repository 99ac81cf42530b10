#include "entryreply.h"

#include "errorreply.h"

#include "cyclamencross/decide/entrychoice.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

constexpr Millis NoEntryRetryAfter{1000};

std::string parameter(const CallerRequest &request, const std::string &name)
{
    const auto found = request.parameters.find(name);
    return found == request.parameters.end() ? "" : found->second;
}

}

HttpReply entryReply(const CallerRequest &request, const FleetView &view, const std::string &ticket)
{
    const std::string workspace = parameter(request, "workspace");
    const auto entry = chooseEntry(workspace.empty() ? "default" : workspace, parameter(request, "session"),
                                   view.self.region, view.members);
    if (!entry) {
        return errorReply(
            CallerError{503, "no-entry", "no entry accepts new callers", RunOutcome::NotRun, NoEntryRetryAfter}, "");
    }
    const Millis keep = view.config ? view.config->defaults.answerTtl : FleetDefaults().answerTtl;
    const nlohmann::ordered_json body{{"address", entry->callerAddress},
                                      {"keep_seconds", std::max<std::int64_t>(1, keep.count() / 1000)},
                                      {"ticket", ticket}};
    return HttpReply{200, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, body.dump()};
}

}
