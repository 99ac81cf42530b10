#include "laggedreport.h"

#include <utility>

namespace Cyclamen
{

LaggedReport::LaggedReport(Millis lag, Source source)
    : lag(lag)
    , source(std::move(source))
{
}

nlohmann::json LaggedReport::latest()
{
    const std::lock_guard lock(this->mutex);
    if (this->sequence == 0 || Clock::now() >= this->refreshTime + this->lag) {
        this->report = this->source();
        this->report["seq"] = ++this->sequence;
        this->refreshTime = Clock::now();
    }
    return this->report;
}

}
