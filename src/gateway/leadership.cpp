#include "leadership.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

std::string encodeLeadership(const Leadership &leadership)
{
    return nlohmann::json{
        {"router", leadership.router}, {"incarnation", leadership.incarnation}, {"lease", leadership.lease}}
        .dump();
}

std::optional<Leadership> decodeLeadership(const std::string &text, StoreRevision revision)
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
    // Records of earlier versions name no lease. No router leads by such a record.
    const auto lease = record.find("lease");
    const bool namesLease = lease != record.end() && lease->is_number_unsigned();
    return Leadership{router->get<std::string>(), incarnation->get<std::uint64_t>(),
                      namesLease ? lease->get<std::uint64_t>() : 0, revision};
}

}
