#include "jsonbody.h"

namespace Cyclamen
{

Json parseBody(const std::string &body)
{
    Json parsed = Json::parse(body, nullptr, false);
    return parsed.is_object() ? parsed : Json::object();
}

Json member(const Json &object, const char *key)
{
    return object.is_object() && object.contains(key) ? object[key] : Json();
}

std::string text(const Json &object, const char *key)
{
    const Json value = member(object, key);
    return value.is_string() ? value.get<std::string>() : std::string();
}

std::uint64_t number(const Json &object, const char *key)
{
    const Json value = member(object, key);
    return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
}

bool flag(const Json &object, const char *key)
{
    const Json value = member(object, key);
    return value.is_boolean() && value.get<bool>();
}

Json list(const Json &object, const char *key)
{
    Json value = member(object, key);
    return value.is_array() ? value : Json::array();
}

}
