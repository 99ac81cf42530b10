#include "requestpermit.h"

#include "cyclamencross/route/namedratelimits.h"

namespace Cyclamen
{

RequestPermit::RequestPermit(std::shared_ptr<NamedRateLimits> limits, std::string backend)
    : limits(std::move(limits))
    , backend(std::move(backend))
    , expiry(this->limits->take(this->backend))
{
}

RequestPermit::~RequestPermit()
{
    if (!this->used) {
        this->limits->giveBack(this->backend, this->expiry);
    }
}

void RequestPermit::use()
{
    this->used = true;
}

bool RequestPermit::isUsed() const
{
    return this->used;
}

}
