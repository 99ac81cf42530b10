#include "jsonbody.h"

namespace Cyclamen
{

Json parseBody(const std::string &body)
{
    Json parsed = Json::parse(body, nullptr, false);
    return parsed.is_object() ? parsed : Json::object();
}

Json jsonMember(const Json &object, const char *key)
{
    return object.is_object() && object.contains(key) ? object[key] : Json();
}

std::string stringMember(const Json &object, const char *key)
{
    const Json value = jsonMember(object, key);
    return value.is_string() ? value.get<std::string>() : std::string();
}

std::uint64_t uintMember(const Json &object, const char *key)
{
    const Json value = jsonMember(object, key);
    return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
}

bool boolMember(const Json &object, const char *key)
{
    const Json value = jsonMember(object, key);
    return value.is_boolean() && value.get<bool>();
}

Json arrayMember(const Json &object, const char *key)
{
    Json value = jsonMember(object, key);
    return value.is_array() ? value : Json::array();
}

}
