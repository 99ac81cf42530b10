#pragma once

#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// One `key = value` line of an INI file, or, with an empty key, a `[section]` line.
struct IniEntry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0; ///< Counted from 1.

    bool operator==(const IniEntry &) const = default;
};

/// Maximum length of a line of an INI file, in bytes.
inline constexpr int MaxIniLineBytes = 4000;

/// Parses INI text into its entries in file order, without validating or merging sections and keys. Comments start with
/// '#' or ';' at the start of a line, or with ';' after white space. Multi-line values are not supported.
/// @param file name used in errors.
/// @return the entries, or InvalidSetting for the first line that is too long, contains a NUL byte, or is neither a
/// section, a key with a value, a comment nor empty.
boost::leaf::result<std::vector<IniEntry>> parseIni(const std::string &text, const std::string &file);

/// Reads a whole file.
/// @return its content, or InvalidSetting with line 0 if it can't be read or is empty.
boost::leaf::result<std::string> readTextFile(const std::string &path);

}
