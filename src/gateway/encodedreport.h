#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Cyclamen
{

struct PeerReport;

/// The bodies of one report, encoded once for each format that a receiver reads.
class EncodedReport
{
public:
    /// @param report has to outlive this object.
    explicit EncodedReport(const PeerReport &report);

    /// Returns the body in a format, see encodePeerReportBody().
    const std::string &body(std::uint32_t format);

private:
    const PeerReport &report;
    std::map<std::uint32_t, std::string> bodies; ///< By format.
};

}
