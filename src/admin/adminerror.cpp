#include "cyclamencross/admin/adminerror.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

HttpResponse adminError(int status, RunOutcome outcome, const std::string &type, const std::string &message)
{
    const nlohmann::ordered_json body{{"error", {{"type", type}, {"message", message}}}};
    return HttpResponse{status,
                        {{"Content-Type", "application/json"}, {"Run-Outcome", std::string(toString(outcome))}},
                        body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace)};
}

HttpResponse adminRefusal(int status, const std::string &type, const std::string &message)
{
    return adminError(status, RunOutcome::NotRun, type, message);
}

}
