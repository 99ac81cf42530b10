#include "leadership.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

std::string encodeLeadership(const Leadership &leadership)
{
    return nlohmann::json{{"router", leadership.router}, {"incarnation", leadership.incarnation}}.dump();
}

std::optional<Leadership> decodeLeadership(const std::string &text, std::uint64_t revision)
{
    const auto record = nlohmann::json::parse(text, nullptr, false);
    if (!record.is_object()) {
        return std::nullopt;
    }
    const auto router = record.find("router");
    const auto incarnation = record.find("incarnation");
    if (router == record.end() || !router->is_string() || incarnation == record.end()
        || !incarnation->is_number_unsigned()) {
        return std::nullopt;
    }
    return Leadership{router->get<std::string>(), incarnation->get<std::uint64_t>(), revision};
}

}
