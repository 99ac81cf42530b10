#include "cyclamencross/gateway/requestbody.h"

#include <utility>

namespace Cyclamen
{

struct RequestBody::Held
{
    std::string bytes;
    MemoryLease lease;
};

RequestBody::RequestBody(std::string bytes, MemoryLease lease)
    : held(std::make_shared<Held>(Held{std::move(bytes), std::move(lease)}))
{
}

const std::string &RequestBody::bytes() const
{
    static const std::string Empty;
    return this->held ? this->held->bytes : Empty;
}

bool RequestBody::operator==(const RequestBody &other) const
{
    return this->bytes() == other.bytes();
}

}
