#include "cyclamencross/admin/adminerror.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

HttpReply adminError(int status, RunOutcome outcome, const std::string &type, const std::string &message)
{
    const nlohmann::ordered_json body{{"error", {{"type", type}, {"message", message}}}};
    return HttpReply{status,
                     {{"Content-Type", "application/json"}, {"Run-Outcome", std::string(toString(outcome))}},
                     body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace)};
}

HttpReply adminRefusal(int status, const std::string &type, const std::string &message)
{
    return adminError(status, RunOutcome::NotRun, type, message);
}

}
