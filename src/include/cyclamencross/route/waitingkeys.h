#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace Cyclamen
{

/// Keys of the work that the routers of a group report about requests which need room: by service alone, by service and
/// Urgency::waitClass(), and by service and workspace. The characters behind the line break keep the ranges apart.
namespace WaitingKeys
{

/// Keys from the first one up to the second one, without that.
using Range = std::pair<std::string, std::string>;

/// Returns the key of requests of a class that wait and can be on time.
std::string ofClass(const std::string &service, int waitClass);
/// Returns the keys of the classes that go before @p waitClass.
Range classesBefore(const std::string &service, int waitClass);
/// Returns the key of a workspace's work in progress.
std::string ofWorkspace(const std::string &service, std::string_view workspace);
/// Returns the keys of the work in progress of all workspaces.
Range workspaces(const std::string &service);
/// Returns whether @p key belongs to a workspace's work in progress.
bool isWorkspace(std::string_view key);

}

}
