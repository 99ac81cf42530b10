#pragma once

namespace httplib
{
struct Response;
}

namespace Cyclamen
{

/// Returns whether the head of a response that cpp-httplib has read is one of HTTP: a final status, and names of fields
/// that are tokens. cpp-httplib accepts any three digits and any bytes before the first colon of a line.
bool isValidResponseHead(const httplib::Response &response);

}
