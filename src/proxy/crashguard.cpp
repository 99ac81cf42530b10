#include "crashguard.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/timing.h"
#include "cyclamencross/decide/crashledger.h"

#include <algorithm>
#include <charconv>

namespace Cyclamen
{

CrashGuard::CrashGuard(std::string entry, std::string sharedKey, ReportHook report, ListHook list)
    : entry(std::move(entry))
    , sharedKey(std::move(sharedKey))
    , reportHook(std::move(report))
    , listHook(std::move(list))
{
}

std::uint64_t CrashGuard::fingerprint(const std::string &workspace, const std::string &target,
                                      const std::string &body) const
{
    // The lengths keep different parts from producing the same text.
    std::string text = std::to_string(workspace.size()) + ":" + workspace;
    text += std::to_string(target.size()) + ":" + target + body;
    const std::string digits = keyedHash(text, this->sharedKey).substr(0, 16);
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

int CrashGuard::crashCount(std::uint64_t fingerprint) const
{
    const auto reports = this->listHook();
    return static_cast<int>(std::ranges::count(reports, fingerprint, &CrashReport::fingerprint));
}

bool CrashGuard::isContained(std::uint64_t fingerprint) const
{
    return this->crashCount(fingerprint) >= CrashLedger::CrashesToContain;
}

void CrashGuard::report(std::uint64_t fingerprint, const std::string &backend) const
{
    LogLine("backend-crash").add("backend", backend).add("fingerprint", toHex(fingerprint)).warn();
    this->reportHook(CrashReport{fingerprint, backend, this->entry, unixSeconds()});
}

bool CrashGuard::reserve(const std::string &backend)
{
    const std::scoped_lock lock(this->mutex);
    return this->reserved.insert(backend).second;
}

void CrashGuard::release(const std::string &backend)
{
    const std::scoped_lock lock(this->mutex);
    this->reserved.erase(backend);
}

bool CrashGuard::isReserved(const std::string &backend) const
{
    const std::scoped_lock lock(this->mutex);
    return this->reserved.contains(backend);
}

}
