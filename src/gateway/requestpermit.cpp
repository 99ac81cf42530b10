#include "requestpermit.h"

#include "cyclamencross/route/namedratelimits.h"

namespace Cyclamen
{

RequestPermit::RequestPermit(std::shared_ptr<NamedRateLimits> limits, std::string backend)
    : limits(std::move(limits))
    , backend(std::move(backend))
    , right(this->limits->take(this->backend))
{
}

RequestPermit::~RequestPermit()
{
    if (!this->used) {
        this->limits->giveBack(this->backend, this->right);
    }
}

bool RequestPermit::renew()
{
    if (this->limits->isValid(this->backend, this->right)) {
        return true;
    }
    if (!this->limits->mayRequest(this->backend)) {
        return false;
    }
    this->right = this->limits->take(this->backend);
    return true;
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
