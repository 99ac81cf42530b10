#include "modelrequest.h"

#include "cyclamencross/base/hash.h"

#include <charconv>
#include <optional>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

constexpr std::size_t PrefixBytes = 256;
constexpr std::size_t MaxHeaderValueBytes = 256;

CallerError invalid(const std::string &message)
{
    return CallerError{400, "invalid-request", message};
}

std::optional<std::int64_t> parseInteger(const std::string &text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

// Joins the messages in a fixed format, so that conversations with the same beginning share a prefix.
std::optional<std::string> joinMessages(const nlohmann::json &messages)
{
    if (!messages.is_array() || messages.empty()) {
        return std::nullopt;
    }
    std::string joined;
    for (const auto &message : messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()
            || !message.contains("content") || !message["content"].is_string()) {
            return std::nullopt;
        }
        joined += message["role"].get<std::string>() + ": " + message["content"].get<std::string>() + "\n";
    }
    return joined;
}

std::optional<CallerError> parseBody(const std::string &body, ModelRequest &parsed, int tokenLimit)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return invalid("the body is not a JSON object");
    }
    if (!json.contains("model") || !json["model"].is_string() || json["model"].get<std::string>().empty()) {
        return invalid("\"model\" must be a non-empty string");
    }
    parsed.model = json["model"].get<std::string>();
    if (parsed.chat) {
        const auto joined = json.contains("messages") ? joinMessages(json["messages"]) : std::nullopt;
        if (!joined) {
            return invalid("\"messages\" must be a non-empty list of objects with \"role\" and \"content\" strings");
        }
        parsed.prompt = *joined;
    } else {
        if (!json.contains("prompt") || !json["prompt"].is_string() || json["prompt"].get<std::string>().empty()) {
            return invalid("\"prompt\" must be a non-empty string");
        }
        parsed.prompt = json["prompt"].get<std::string>();
    }
    if (json.contains("stream")) {
        if (!json["stream"].is_boolean()) {
            return invalid("\"stream\" must be true or false");
        }
        parsed.stream = json["stream"].get<bool>();
    }
    parsed.maxTokens = tokenLimit;
    if (json.contains("max_tokens")) {
        if (!json["max_tokens"].is_number_integer() || json["max_tokens"].get<std::int64_t>() < 1) {
            return invalid("\"max_tokens\" must be a positive integer");
        }
        parsed.maxTokens = static_cast<int>(std::min<std::int64_t>(json["max_tokens"].get<std::int64_t>(), tokenLimit));
    }
    return std::nullopt;
}

}

std::uint64_t ModelRequest::promptTokens() const
{
    return (this->prompt.size() + 3) / 4;
}

std::string ModelRequest::prefix() const
{
    return toHex(hash64(std::string_view(this->prompt).substr(0, PrefixBytes)));
}

std::variant<Millis, CallerError> parseDeadline(const CallerRequest &request, Millis limit)
{
    const std::string text = request.header("Request-Deadline-Ms");
    if (text.empty()) {
        return limit;
    }
    const auto value = parseInteger(text);
    if (!value || *value < 1) {
        return invalid("Request-Deadline-Ms must be a positive integer (milliseconds)");
    }
    return std::min(limit, Millis(*value));
}

std::variant<ModelRequest, CallerError> parseModelRequest(const CallerRequest &request, const FleetDefaults &defaults)
{
    ModelRequest parsed;
    parsed.chat = request.path == "/v1/chat/completions";
    parsed.workspace = request.header("Workspace", "default");
    parsed.session = request.header("Session");
    parsed.idempotencyKey = request.header("Idempotency-Key");
    for (const std::string *field : {&parsed.workspace, &parsed.session, &parsed.idempotencyKey}) {
        if (field->size() > MaxHeaderValueBytes) {
            return invalid("Workspace, Session and Idempotency-Key are limited to 256 bytes");
        }
    }
    const auto priority = parseInteger(request.header("Priority", "1"));
    if (!priority || *priority < 0 || *priority > 2) {
        return invalid("Priority must be 0, 1 or 2");
    }
    parsed.priority = static_cast<std::uint8_t>(*priority);
    const auto deadline = parseDeadline(request, defaults.requestDeadline);
    if (const auto *error = std::get_if<CallerError>(&deadline)) {
        return *error;
    }
    parsed.deadline = std::get<Millis>(deadline);
    if (const auto error = parseBody(request.body, parsed, defaults.maxTokens)) {
        return *error;
    }
    return parsed;
}

}
