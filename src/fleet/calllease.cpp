#include "calllease.h"

namespace Cyclamen
{

CallLease::CallLease(KeyValueClient &client)
    : client(client)
{
}

boost::leaf::result<std::int64_t> CallLease::get(TimePoint now)
{
    // Held while the lease is granted, so that calls that start together share one.
    const std::scoped_lock lock(this->mutex);
    if (this->lease == 0 || now - this->granted >= SharedFor) {
        BOOST_LEAF_ASSIGN(this->lease, this->client.grantLease(LifetimeSeconds));
        this->granted = now;
    }
    return this->lease;
}

void CallLease::discard(std::int64_t lease)
{
    const std::scoped_lock lock(this->mutex);
    if (this->lease == lease) {
        this->lease = 0;
    }
}

}
