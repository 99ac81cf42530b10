#pragma once

#include <string_view>

namespace Cyclamen
{

/// Returns whether @p text may be the name of a field in the head of an HTTP message: a token of RFC 9110,
/// section 5.6.2, so that it has neither blanks nor control bytes.
bool isFieldName(std::string_view text);
/// Returns whether a response may have this status as its final one: 200 to 599 by RFC 9110, section 15.
bool isFinalStatus(int status);
/// Returns whether @p status is that of an interim response, which a final one follows: 100 to 199.
bool isInterimStatus(int status);
/// Returns whether a line in the head of an HTTP message, after the first one, begins with a blank. Such a line
/// continued the one before it in earlier versions of HTTP (RFC 9112, section 5.2); recipients read it in different
/// ways.
/// @param head the whole head, with line ends.
bool hasFoldedLine(std::string_view head);

}
