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
    const std::uint64_t attemptsBefore = this->grantAttempts.load();
    // Held during the grant request, so that concurrent calls share one lease.
    const std::scoped_lock lock(this->mutex);
    if (this->lease != 0 && now - this->grantTime < SharePeriod) {
        return this->lease;
    }
    if (this->grantAttempts.load() != attemptsBefore) {
        // The grant request that this thread waited for has failed. If each waiting thread tried again in turn, their
        // timeouts would add up.
        return boost::leaf::new_error(KeyValueUnavailable{"lease grant failed"});
    }
    auto granted = this->client.grantLease(LifetimeSeconds);
    ++this->grantAttempts;
    BOOST_LEAF_ASSIGN(this->lease, granted);
    this->grantTime = now;
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
