#pragma once

#include "cyclamencross/route/serviceversions.h"
#include "cyclamencross/route/streamorigin.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// Encodes the software versions of the services as an item of the store.
std::string encodeServiceVersions(const ServiceVersions &versions);
/// @return std::nullopt if @p text is malformed.
std::optional<ServiceVersions> decodeServiceVersions(const std::string &text);

/// Encodes streams as an item of the store.
std::string encodeStreamOrigins(const StreamOriginsByVersion &origins);
/// @return std::nullopt if @p text is malformed.
std::optional<StreamOriginsByVersion> decodeStreamOrigins(const std::string &text);

}
