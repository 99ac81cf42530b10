#include "cyclamencross/base/inifile.h"

#include "cyclamencross/base/failures.h"

#include <cstring>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string_view>

#include <boost/leaf/error.hpp>
#include <ini.h>

namespace Cyclamen
{

namespace
{

struct ParseState
{
    std::istringstream input;
    std::vector<IniEntry> entries;
    int line = 0;
    int errorLine = 0;
    std::string errorExpected;

    // Records the first error only.
    void fail(const std::string &expected)
    {
        if (this->errorLine == 0) {
            this->errorLine = this->line;
            this->errorExpected = expected;
        }
    }
};

std::string_view trim(std::string_view text)
{
    static constexpr std::string_view Whitespace = " \t\r\n";
    const auto begin = text.find_first_not_of(Whitespace);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(Whitespace) - begin + 1);
}

// Line reader for inih. It records line numbers and section headers, because inih reports neither the line of a key nor
// a section without keys.
char *readLine(char *buffer, int size, void *stream)
{
    auto &state = *static_cast<ParseState *>(stream);
    std::string line;
    if (!std::getline(state.input, line)) {
        return nullptr;
    }
    state.line += 1;
    if (line.size() > std::size_t(MaxIniLineBytes)) {
        state.fail("a line of at most " + std::to_string(MaxIniLineBytes) + " bytes");
        line.clear();
    }
    if (line.find('\0') != std::string::npos) {
        state.fail("text without NUL bytes");
        line.clear();
    }
    const std::string_view content = trim(line);
    const auto end = content.find(']');
    if (content.starts_with('[') && end != std::string_view::npos) {
        state.entries.push_back(IniEntry{std::string(content.substr(1, end - 1)), "", "", state.line});
    }
    line.resize(std::min(line.size(), std::size_t(size) - 2));
    line += '\n';
    std::memcpy(buffer, line.c_str(), line.size() + 1);
    return buffer;
}

int handleKey(void *user, const char *section, const char *name, const char *value)
{
    auto &state = *static_cast<ParseState *>(user);
    if (std::string_view(name).empty()) {
        state.fail("a key before the value");
        return 1;
    }
    // inih truncates long section names; readLine() recorded the section header in full.
    std::string sectionName = section;
    for (auto entry = state.entries.rbegin(); entry != state.entries.rend(); ++entry) {
        if (entry->key.empty()) {
            sectionName = entry->section;
            break;
        }
    }
    state.entries.push_back(IniEntry{sectionName, name, value, state.line});
    return 1;
}

void configureInih()
{
    // Debian's inih is configured through global variables. By default it truncates lines after 200 bytes.
    static std::once_flag once;
    std::call_once(once, [] {
        ini_use_stack = false;
        ini_max_line = MaxIniLineBytes + 3;
        ini_initial_alloc = MaxIniLineBytes + 3;
        ini_allow_multiline = false;
    });
}

}

boost::leaf::result<std::vector<IniEntry>> parseIni(const std::string &text, const std::string &file)
{
    configureInih();
    ParseState state;
    state.input.str(text);
    const int syntaxLine = ini_parse_stream(readLine, &state, handleKey, &state);
    if (syntaxLine > 0 && (state.errorLine == 0 || syntaxLine < state.errorLine)) {
        return boost::leaf::new_error(InvalidSetting{file, syntaxLine, "", "[section], key = value or a comment"});
    }
    if (state.errorLine > 0) {
        return boost::leaf::new_error(InvalidSetting{file, state.errorLine, "", state.errorExpected});
    }
    return std::move(state.entries);
}

boost::leaf::result<std::string> readTextFile(const std::string &path)
{
    std::ifstream input(path, std::ios::binary);
    std::ostringstream content;
    if (!input || !(content << input.rdbuf()).good()) {
        return boost::leaf::new_error(InvalidSetting{path, 0, "", "a readable file that is not empty"});
    }
    return content.str();
}

}
