#include "cyclamencross/net/datagramport.h"

#include "cyclamencross/base/metrics.h"

namespace Cyclamen
{

struct DatagramPort::Members
{
    std::string address;
};

DatagramPort::DatagramPort(const std::string &address, std::string /*sender*/, std::uint64_t /*incarnation*/,
                           std::string /*sharedKey*/, Metrics & /*metrics*/)
    : members(std::make_unique<Members>(Members{address}))
{
}

DatagramPort::~DatagramPort() = default;

void DatagramPort::receive(DatagramKind /*kind*/, Receiver /*receiver*/)
{
}

void DatagramPort::start()
{
}

void DatagramPort::send(const std::string & /*address*/, DatagramKind /*kind*/, const std::string & /*payload*/)
{
}

std::string DatagramPort::address() const
{
    return this->members->address;
}

}
