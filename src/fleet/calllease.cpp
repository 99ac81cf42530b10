#include "calllease.h"

#include "cyclamencross/base/failures.h"

#include <boost/leaf/error.hpp>

namespace Cyclamen
{

CallLease::CallLease(KeyValueClient &client)
    : client(client)
{
}

boost::leaf::result<std::int64_t> CallLease::get(TimePoint now)
{
    const std::uint64_t before = this->grants.load();
    // Held while the lease is granted, so that calls that start together share one.
    const std::scoped_lock lock(this->mutex);
    if (this->lease != 0 && now - this->granted < SharedFor) {
        return this->lease;
    }
    if (this->grants.load() != before) {
        // The request that this call waited for has failed. Another one for each waiting call would add up their
        // timeouts.
        return boost::leaf::new_error(KeyValueUnavailable{"no lease could be granted"});
    }
    auto granted = this->client.grantLease(LifetimeSeconds);
    ++this->grants;
    BOOST_LEAF_ASSIGN(this->lease, granted);
    this->granted = now;
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
