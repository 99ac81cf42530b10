#include "inireader.h"

#include <algorithm>
#include <cstring>
#include <set>

#include <ini.h>

namespace Cyclamen
{

namespace
{

// State of one reading, handed through the C interface of inih.
struct Reading
{
    const std::string &text;
    const IniVisitor &visitor;
    std::size_t position = 0;
    int line = 0;
    std::set<std::pair<std::string, std::string>> seen;
    std::optional<InvalidSetting> fault;

    void fail(const std::string &key, const std::string &expected)
    {
        if (!this->fault) {
            this->fault = InvalidSetting{"", this->line, key, expected};
        }
    }
};

// Gives inih one line at a time and thereby counts the lines, which inih as packaged does not pass to its handler.
char *nextLine(char *buffer, int size, void *stream)
{
    auto &reading = *static_cast<Reading *>(stream);
    if (reading.position >= reading.text.size() || reading.fault) {
        return nullptr;
    }
    const std::size_t end = std::min(reading.text.find('\n', reading.position), reading.text.size());
    const std::size_t length = end - reading.position;
    ++reading.line;
    // inih would treat the rest of a longer line as a line of its own.
    if (length + 2 > static_cast<std::size_t>(size)) {
        reading.fail("", "a line of at most " + std::to_string(size - 2) + " bytes");
        return nullptr;
    }
    std::memcpy(buffer, reading.text.data() + reading.position, length);
    buffer[length] = '\n';
    buffer[length + 1] = '\0';
    reading.position = end + 1;
    return buffer;
}

int takeLine(void *user, const char *section, const char *name, const char *value)
{
    auto &reading = *static_cast<Reading *>(user);
    if (reading.fault) {
        return 0;
    }
    if (!reading.seen.emplace(section, name).second) {
        reading.fail(name, "a key that appears once in its section");
        return 0;
    }
    if (const auto expected = reading.visitor(IniLine{section, name, value, reading.line})) {
        reading.fail(name, *expected);
        return 0;
    }
    return 1;
}

// A reason takes more than the 200 bytes that inih allows a line by default. Set before any thread starts, since inih
// keeps these settings in global variables.
const bool LongLinesAllowed = [] {
    ini_use_stack = false;
    ini_max_line = 2000;
    return true;
}();

}

std::optional<InvalidSetting> readIni(const std::string &text, const IniVisitor &visitor)
{
    Reading reading{text, visitor, 0, 0, {}, std::nullopt};
    const int faultLine = ini_parse_stream(nextLine, &reading, takeLine, &reading);
    if (!reading.fault && faultLine != 0) {
        reading.fault = InvalidSetting{"", faultLine, "", "[section] or name = value"};
    }
    return reading.fault;
}

}
