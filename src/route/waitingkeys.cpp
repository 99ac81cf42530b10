#include "cyclamencross/route/waitingkeys.h"

namespace Cyclamen::WaitingKeys
{

namespace
{

constexpr char Separator = '\n';
// Sorts behind the digits of classes.
constexpr char WorkspaceMark = '~';

}

std::string ofClass(const std::string &service, int waitClass)
{
    return service + Separator + char('0' + waitClass / 10) + char('0' + waitClass % 10);
}

Range classesBefore(const std::string &service, int waitClass)
{
    return {service + Separator, ofClass(service, waitClass)};
}

std::string ofWorkspace(const std::string &service, std::string_view workspace)
{
    return service + Separator + WorkspaceMark + std::string(workspace);
}

Range workspaces(const std::string &service)
{
    return {service + Separator + WorkspaceMark, service + Separator + char(WorkspaceMark + 1)};
}

bool isWorkspace(std::string_view key)
{
    const auto separator = key.find(Separator);
    return separator != std::string_view::npos && key.substr(separator + 1).starts_with(WorkspaceMark);
}

}
