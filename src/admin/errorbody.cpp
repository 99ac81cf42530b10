#include "errorbody.h"

#include "cyclamencross/base/runoutcome.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

HttpReply refusal(int status, const std::string &type, const std::string &message)
{
    const nlohmann::json body{{"error", {{"type", type}, {"message", message}}}};
    return HttpReply{status,
                     {{"Content-Type", "application/json"}, {"Run-Outcome", std::string(toString(RunOutcome::NotRun))}},
                     body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}
