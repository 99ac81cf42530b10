#include "keyvaluejson.h"

#include "cyclamencross/base/base64.h"

#include <stdexcept>

namespace Cyclamen
{

namespace
{

std::string bytesMember(const nlohmann::json &object, const char *name)
{
    const auto bytes = fromBase64(object.value(name, ""));
    if (!bytes) {
        throw std::invalid_argument("not base64");
    }
    return *bytes;
}

}

std::int64_t numberMember(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

KeyValueEntry toEntry(const nlohmann::json &kv)
{
    return KeyValueEntry{bytesMember(kv, "key"), bytesMember(kv, "value"), numberMember(kv, "create_revision"),
                         numberMember(kv, "mod_revision"), numberMember(kv, "lease")};
}

}
