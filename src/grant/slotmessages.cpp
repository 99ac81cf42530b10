#include "slotmessages.h"

#include <cstdint>
#include <exception>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

namespace Cyclamen
{

namespace
{

// Age of a load for which the owner has no report.
constexpr std::int64_t UnknownAge = -1;

template<typename... Fields>
std::string pack(const Fields &...fields)
{
    std::ostringstream out(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(fields...);
    }
    return out.str();
}

template<typename... Fields>
bool unpack(const std::string &payload, Fields &...fields)
{
    try {
        std::istringstream in(payload, std::ios::binary);
        cereal::PortableBinaryInputArchive archive(in);
        archive(fields...);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

}

std::string encode(const SlotAsk &request)
{
    return pack(request.requestId, request.engine, request.workspace, request.priority, request.slots, request.tokens,
                std::int64_t(request.maxWait.count()), request.number);
}

std::optional<SlotAsk> decodeSlotRequest(const std::string &payload)
{
    SlotAsk request;
    std::int64_t maxWait = 0;
    if (!unpack(payload, request.requestId, request.engine, request.workspace, request.priority, request.slots,
                request.tokens, maxWait, request.number)) {
        return std::nullopt;
    }
    request.maxWait = Millis(maxWait);
    return request;
}

std::string encode(const SlotReply &reply, TimePoint now)
{
    const bool isKnown = reply.load.known != TimePoint();
    const std::int64_t age = isKnown ? std::chrono::duration_cast<Millis>(now - reply.load.known).count() : UnknownAge;
    return pack(static_cast<std::uint8_t>(reply.status), reply.requestId, reply.engine, reply.owner, reply.number,
                reply.slots, reply.tokens, std::int64_t(reply.expectedWait.count()), reply.reason, reply.load.slots,
                reply.load.held, reply.load.queuedTokens, reply.load.tokensPerSecond, age);
}

std::optional<SlotReply> decodeSlotReply(const std::string &payload, TimePoint now)
{
    SlotReply reply;
    std::uint8_t status = 0;
    std::int64_t expectedWait = 0;
    std::int64_t age = 0;
    if (!unpack(payload, status, reply.requestId, reply.engine, reply.owner, reply.number, reply.slots, reply.tokens,
                expectedWait, reply.reason, reply.load.slots, reply.load.held, reply.load.queuedTokens,
                reply.load.tokensPerSecond, age)
        || status > static_cast<std::uint8_t>(SlotStatus::NotOwner)) {
        return std::nullopt;
    }
    reply.status = static_cast<SlotStatus>(status);
    reply.expectedWait = Millis(expectedWait);
    reply.load.engine = reply.engine;
    reply.load.known = age == UnknownAge ? TimePoint() : now - Millis(age);
    return reply;
}

std::string encode(const SlotRelease &release)
{
    return pack(release.requestId, release.engine, release.number);
}

std::optional<SlotRelease> decodeSlotRelease(const std::string &payload)
{
    SlotRelease release;
    if (!unpack(payload, release.requestId, release.engine, release.number)) {
        return std::nullopt;
    }
    return release;
}

}
