#pragma once

#include "cyclamencross/route/routermember.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// Encodes a router's registration as JSON text for the store.
std::string encodeMember(const RouterMember &member);
/// Decodes the registration of the router called @p name; std::nullopt if it is malformed.
std::optional<RouterMember> decodeMember(const std::string &name, const std::string &text);

}
