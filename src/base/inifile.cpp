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

struct Parse
{
    std::istringstream input;
    std::vector<IniEntry> entries;
    int line = 0;
    int faultLine = 0;
    std::string faultExpected;

    void fail(const std::string &expected)
    {
        if (this->faultLine == 0) {
            this->faultLine = this->line;
            this->faultExpected = expected;
        }
    }
};

std::string_view trim(std::string_view text)
{
    static constexpr std::string_view Blanks = " \t\r\n";
    const auto begin = text.find_first_not_of(Blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(Blanks) - begin + 1);
}

// inih doesn't report the line of a key, nor sections without keys, so both are noted as it reads line by line.
char *readLine(char *buffer, int size, void *stream)
{
    auto &parse = *static_cast<Parse *>(stream);
    std::string line;
    if (!std::getline(parse.input, line)) {
        return nullptr;
    }
    parse.line += 1;
    if (line.size() > std::size_t(MaxIniLineBytes)) {
        parse.fail("a line of at most " + std::to_string(MaxIniLineBytes) + " bytes");
        line.clear();
    }
    if (line.find('\0') != std::string::npos) {
        parse.fail("text without zero bytes");
        line.clear();
    }
    const std::string_view content = trim(line);
    const auto end = content.find(']');
    if (content.starts_with('[') && end != std::string_view::npos) {
        parse.entries.push_back(IniEntry{std::string(content.substr(1, end - 1)), "", "", parse.line});
    }
    line.resize(std::min(line.size(), std::size_t(size) - 2));
    line += '\n';
    std::memcpy(buffer, line.c_str(), line.size() + 1);
    return buffer;
}

int takeKey(void *user, const char *section, const char *name, const char *value)
{
    auto &parse = *static_cast<Parse *>(user);
    if (std::string_view(name).empty()) {
        parse.fail("a key in front of the value");
        return 1;
    }
    // inih cuts off long section names; the heading that readLine() noted is whole.
    std::string whole = section;
    for (auto entry = parse.entries.rbegin(); entry != parse.entries.rend(); ++entry) {
        if (entry->key.empty()) {
            whole = entry->section;
            break;
        }
    }
    parse.entries.push_back(IniEntry{whole, name, value, parse.line});
    return 1;
}

void setUpParser()
{
    // Debian's inih takes its limits from global variables; its defaults cut lines off after 200 bytes.
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
    setUpParser();
    Parse parse;
    parse.input.str(text);
    const int syntaxLine = ini_parse_stream(readLine, &parse, takeKey, &parse);
    if (syntaxLine > 0 && (parse.faultLine == 0 || syntaxLine < parse.faultLine)) {
        return boost::leaf::new_error(InvalidSetting{file, syntaxLine, "", "[section], key = value or a comment"});
    }
    if (parse.faultLine > 0) {
        return boost::leaf::new_error(InvalidSetting{file, parse.faultLine, "", parse.faultExpected});
    }
    return std::move(parse.entries);
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
