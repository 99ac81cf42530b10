#include "cyclamencross/base/httpsyntax.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

bool isTokenCharacter(char character)
{
    static constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || Others.find(character) != std::string_view::npos;
}

}

bool isFieldName(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFinalStatus(int status)
{
    return status >= 200 && status <= 599;
}

bool isInterimStatus(int status)
{
    return status >= 100 && status <= 199;
}

bool hasFoldedLine(std::string_view head)
{
    return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

}
