#include "memberrecord.h"

#include "cyclamencross/base/ipport.h"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

constexpr std::uint64_t MaxFormat = std::numeric_limits<std::uint32_t>::max();

}

std::string encodeMember(const RouterMember &member)
{
    nlohmann::json record{{"incarnation", member.incarnation},
                          {"zone", member.zone},
                          {"caller_address", member.callerAddress},
                          {"peer_address", member.peerAddress},
                          {"report_format", member.reportFormat}};
    if (member.lowestGeneration) {
        record["lowest_generation"] = *member.lowestGeneration;
    }
    return record.dump();
}

std::optional<RouterMember> decodeMember(const std::string &name, const std::string &text)
{
    const auto record = nlohmann::json::parse(text, nullptr, false);
    if (!record.is_object()) {
        return std::nullopt;
    }
    const auto readText = [&record](const char *key) {
        const auto it = record.find(key);
        return it != record.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    RouterMember member;
    member.name = name;
    member.zone = readText("zone");
    member.callerAddress = readText("caller_address");
    member.peerAddress = readText("peer_address");
    const auto incarnation = record.find("incarnation");
    if (incarnation == record.end() || !incarnation->is_number_unsigned() || !parseIpPort(member.callerAddress)
        || !parseIpPort(member.peerAddress)) {
        return std::nullopt;
    }
    member.incarnation = incarnation->get<std::uint64_t>();
    const auto format = record.find("report_format");
    if (format != record.end() && format->is_number_unsigned()) {
        member.reportFormat = std::uint32_t(std::min<std::uint64_t>(format->get<std::uint64_t>(), MaxFormat));
    }
    const auto generation = record.find("lowest_generation");
    if (generation != record.end() && generation->is_number_unsigned()) {
        member.lowestGeneration = generation->get<std::uint64_t>();
    }
    return member;
}

}
