#include "gossipmessage.h"

#include "cyclamencross/base/ipport.h"

#include <array>
#include <sstream>

#include <arpa/inet.h>
#include <cereal/archives/portable_binary.hpp>

namespace Cyclamen
{

namespace
{

using Output = cereal::PortableBinaryOutputArchive;
using Input = cereal::PortableBinaryInputArchive;

// Names are encoded with a one-byte length, IPv4 addresses and ports in 6 bytes. cereal's own string encoding uses 8
// bytes for the length, which would double the size of a record.
constexpr std::size_t MaxNameBytes = 255;
constexpr std::size_t AddressBytes = 6;

std::size_t encodedNameSize(const std::string &name)
{
    return 1 + std::min(name.size(), MaxNameBytes);
}

void saveName(Output &archive, const std::string &name)
{
    const auto size = static_cast<std::uint8_t>(std::min(name.size(), MaxNameBytes));
    archive(size, cereal::binary_data(name.data(), size));
}

std::string loadName(Input &archive)
{
    std::uint8_t size = 0;
    archive(size);
    std::string name(size, '\0');
    archive(cereal::binary_data(name.data(), size));
    return name;
}

void saveAddress(Output &archive, const std::string &text)
{
    const auto address = parseIpPort(text, 0);
    in_addr ip{};
    if (address) {
        inet_pton(AF_INET, address->ip.c_str(), &ip);
    }
    archive(std::uint32_t(ntohl(ip.s_addr)), std::uint16_t(address ? address->port : 0));
}

std::string loadAddress(Input &archive)
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    archive(ip, port);
    if (ip == 0 && port == 0) {
        return {};
    }
    const in_addr native{htonl(ip)};
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &native, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(port);
}

std::uint8_t packState(Health health, Lifecycle lifecycle)
{
    return static_cast<std::uint8_t>(static_cast<unsigned>(health) | (static_cast<unsigned>(lifecycle) << 4U));
}

void loadState(Input &archive, Health &health, Lifecycle &lifecycle)
{
    std::uint8_t state = 0;
    archive(state);
    const unsigned healthBits = state & 0xFU;
    const unsigned lifecycleBits = state >> 4U;
    if (healthBits > static_cast<unsigned>(Health::Dead) || lifecycleBits > static_cast<unsigned>(Lifecycle::Left)) {
        throw cereal::Exception("unknown member state");
    }
    health = static_cast<Health>(healthBits);
    lifecycle = static_cast<Lifecycle>(lifecycleBits);
}

// The index of the alternative in GossipItem is the tag on the wire, so the order of the alternatives must not change.
struct ItemSaver
{
    void operator()(const MemberRecord &record) const
    {
        saveName(archive, record.name);
        archive(record.incarnation, record.heartbeat, packState(record.health, record.lifecycle), record.loadSequence,
                record.load, record.configRevision);
        saveAddress(archive, record.callerAddress);
        saveAddress(archive, record.adminAddress);
        saveAddress(archive, record.gossipAddress);
        saveName(archive, record.zone);
        saveName(archive, record.region);
    }
    void operator()(const MemberStatus &status) const
    {
        saveName(archive, status.name);
        archive(status.incarnation, status.heartbeat, packState(status.health, status.lifecycle));
    }
    void operator()(const CrashReport &report) const
    {
        archive(report.fingerprint, report.unixTime);
        saveAddress(archive, report.backend);
        saveName(archive, report.reporter);
    }
    void operator()(const CrashLift &lift) const
    {
        archive(lift.fingerprint, lift.upTo);
    }
    void operator()(const BackendDeparture &departure) const
    {
        archive(departure.listVersion);
        saveAddress(archive, departure.address);
    }

    Output &archive;
};

MemberRecord loadRecord(Input &archive)
{
    MemberRecord record;
    record.name = loadName(archive);
    archive(record.incarnation, record.heartbeat);
    loadState(archive, record.health, record.lifecycle);
    archive(record.loadSequence, record.load, record.configRevision);
    record.callerAddress = loadAddress(archive);
    record.adminAddress = loadAddress(archive);
    record.gossipAddress = loadAddress(archive);
    record.zone = loadName(archive);
    record.region = loadName(archive);
    return record;
}

GossipItem loadItem(Input &archive)
{
    std::uint8_t tag = 0;
    archive(tag);
    if (tag == 0) {
        return loadRecord(archive);
    }
    if (tag == 1) {
        MemberStatus status;
        status.name = loadName(archive);
        archive(status.incarnation, status.heartbeat);
        loadState(archive, status.health, status.lifecycle);
        return status;
    }
    if (tag == 2) {
        CrashReport report;
        archive(report.fingerprint, report.unixTime);
        report.backend = loadAddress(archive);
        report.reporter = loadName(archive);
        return report;
    }
    if (tag == 3) {
        CrashLift lift;
        archive(lift.fingerprint, lift.upTo);
        return lift;
    }
    if (tag == 4) {
        BackendDeparture departure;
        archive(departure.listVersion);
        departure.address = loadAddress(archive);
        return departure;
    }
    throw cereal::Exception("unknown gossip item");
}

struct ItemSize
{
    std::size_t operator()(const MemberRecord &record) const
    {
        return encodedNameSize(record.name) + encodedNameSize(record.zone) + encodedNameSize(record.region)
            + 3 * AddressBytes + sizeof record.incarnation + sizeof record.heartbeat + 1 + sizeof record.loadSequence
            + sizeof record.load + sizeof record.configRevision;
    }
    std::size_t operator()(const MemberStatus &status) const
    {
        return encodedNameSize(status.name) + sizeof status.incarnation + sizeof status.heartbeat + 1;
    }
    std::size_t operator()(const CrashReport &report) const
    {
        return sizeof report.fingerprint + sizeof report.unixTime + AddressBytes + encodedNameSize(report.reporter);
    }
    std::size_t operator()(const CrashLift &lift) const
    {
        return sizeof lift.fingerprint + sizeof lift.upTo;
    }
    std::size_t operator()(const BackendDeparture &departure) const
    {
        return sizeof departure.listVersion + AddressBytes;
    }
};

}

std::size_t encodedSize(const GossipItem &item)
{
    return 1 + std::visit(ItemSize(), item);
}

std::size_t encodedSize(const GossipMessage &header)
{
    static constexpr std::size_t EndianByte = 1;
    static constexpr std::size_t ItemCountBytes = 2;
    return EndianByte + sizeof header.number + AddressBytes + 1 + encodedNameSize(header.pageAfter) + ItemCountBytes;
}

std::string encodeGossip(const GossipMessage &message)
{
    std::ostringstream stream;
    Output archive(stream);
    archive(message.number);
    saveAddress(archive, message.target);
    archive(static_cast<std::uint8_t>(message.page));
    saveName(archive, message.pageAfter);
    archive(static_cast<std::uint16_t>(message.items.size()));
    for (const GossipItem &item : message.items) {
        archive(static_cast<std::uint8_t>(item.index()));
        std::visit(ItemSaver{archive}, item);
    }
    return stream.str();
}

std::optional<GossipMessage> decodeGossip(const std::string &bytes)
{
    try {
        std::istringstream stream(bytes);
        Input archive(stream);
        GossipMessage message;
        archive(message.number);
        message.target = loadAddress(archive);
        std::uint8_t page = 0;
        archive(page);
        if (page > static_cast<std::uint8_t>(GossipMessage::Page::Last)) {
            return std::nullopt;
        }
        message.page = static_cast<GossipMessage::Page>(page);
        message.pageAfter = loadName(archive);
        std::uint16_t count = 0;
        archive(count);
        for (std::uint16_t i = 0; i < count; ++i) {
            message.items.push_back(loadItem(archive));
        }
        return message;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

}
