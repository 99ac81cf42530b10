#include "encodedreport.h"

#include "peerreport.h"

namespace Cyclamen
{

EncodedReport::EncodedReport(const PeerReport &report)
    : report(report)
{
}

const std::string &EncodedReport::body(std::uint32_t format)
{
    std::string &known = this->bodies[format];
    if (known.empty()) {
        known = encodePeerReportBody(this->report, format);
    }
    return known;
}

}
