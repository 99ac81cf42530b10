#include "versioncodec.h"

#include "cyclamencross/route/streamorigins.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

using Json = nlohmann::json;

// Versions come from backend servers and may contain any bytes.
std::string dump(const Json &record)
{
    return record.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}

std::string encodeServiceVersions(const ServiceVersions &versions)
{
    Json services = Json::object();
    for (const auto &[service, states] : versions.services()) {
        services[service] = Json::object();
        for (const auto &[version, state] : states) {
            services[service][version] = state == ServiceVersions::State::Open ? "open" : "announced";
        }
    }
    return dump(Json{{"services", services}});
}

std::optional<ServiceVersions> decodeServiceVersions(const std::string &text)
{
    const Json record = Json::parse(text, nullptr, false);
    const auto services = record.is_object() ? record.find("services") : record.end();
    if (!record.is_object() || services == record.end() || !services->is_object()) {
        return std::nullopt;
    }
    std::map<std::string, ServiceVersions::Versions> result;
    for (const auto &[service, versions] : services->items()) {
        if (!versions.is_object()) {
            return std::nullopt;
        }
        for (const auto &[version, state] : versions.items()) {
            if (state != "open" && state != "announced") {
                return std::nullopt;
            }
            result[service][version] =
                state == "open" ? ServiceVersions::State::Open : ServiceVersions::State::Announced;
        }
    }
    return ServiceVersions(std::move(result));
}

std::string encodeStreamOrigins(const StreamOriginsByVersion &origins)
{
    Json versions = Json::object();
    for (const auto &[version, streams] : origins) {
        Json list = Json::array();
        for (const StreamOrigin &stream : streams) {
            list.push_back(Json::array({stream.key, stream.left.count()}));
        }
        versions[version] = list;
    }
    return dump(Json{{"versions", versions}});
}

std::optional<StreamOriginsByVersion> decodeStreamOrigins(const std::string &text)
{
    const Json record = Json::parse(text, nullptr, false);
    const auto versions = record.is_object() ? record.find("versions") : record.end();
    if (!record.is_object() || versions == record.end() || !versions->is_object()) {
        return std::nullopt;
    }
    StreamOriginsByVersion origins;
    for (const auto &[version, streams] : versions->items()) {
        if (!streams.is_array()) {
            return std::nullopt;
        }
        for (const Json &stream : streams) {
            if (!stream.is_array() || stream.size() != 2 || !stream[0].is_number_unsigned()
                || !stream[1].is_number_unsigned()
                || stream[1].get<std::uint64_t>() > std::uint64_t(StreamOrigins::MaxLifetime.count())) {
                return std::nullopt;
            }
            origins[version].push_back(
                StreamOrigin{stream[0].get<std::uint64_t>(), Millis(stream[1].get<std::int64_t>())});
        }
    }
    return origins;
}

}
