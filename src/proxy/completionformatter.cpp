#include "completionformatter.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

using Json = nlohmann::ordered_json;

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}

CompletionFormatter::CompletionFormatter(const ModelRequest &request, std::string requestId, std::int64_t created)
    : chat(request.chat)
    , model(request.model)
    , promptTokens(request.promptTokens())
    , requestId(std::move(requestId))
    , created(created)
{
}

std::string CompletionFormatter::chunkEvent(const std::string &text) const
{
    Json choice{{"index", 0}};
    if (this->chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    choice["finish_reason"] = nullptr;
    const Json event{{"id", this->requestId},
                     {"object", this->chat ? "chat.completion.chunk" : "text_completion"},
                     {"created", this->created},
                     {"model", this->model},
                     {"choices", Json::array({choice})}};
    return "data: " + dump(event) + "\n\n";
}

std::string CompletionFormatter::endEvent() const
{
    return "data: [DONE]\n\n";
}

std::string CompletionFormatter::errorEvent(const CallerError &error) const
{
    return "event: error\ndata: " + errorJson(error, this->requestId) + "\n\n";
}

std::string CompletionFormatter::fullResponse(const std::string &text, std::uint64_t outputTokens) const
{
    Json choice{{"index", 0}};
    if (this->chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    choice["finish_reason"] = "stop";
    const Json response{{"id", this->requestId},
                        {"object", this->chat ? "chat.completion" : "text_completion"},
                        {"created", this->created},
                        {"model", this->model},
                        {"choices", Json::array({choice})},
                        {"usage",
                         {{"prompt_tokens", this->promptTokens},
                          {"completion_tokens", outputTokens},
                          {"total_tokens", this->promptTokens + outputTokens}}}};
    return dump(response);
}

}
