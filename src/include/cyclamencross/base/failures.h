#pragma once

#include <cstdint>
#include <string>

/// The failures that cross library borders, carried by `boost::leaf::result`. Each kind of failure is a type.
namespace Cyclamen
{

/// The key-value service did not answer, or answered with a server error.
struct KeyValueUnavailable
{
    std::string detail;
};

/// A write lost against a concurrent change: the stored revision differs from the expected one.
struct RevisionConflict
{
    std::uint64_t expected = 0;
    std::uint64_t found = 0;
};

/// A settings or configuration file is invalid at one key.
struct InvalidSetting
{
    std::string file;
    int line = 0;
    std::string key;
    std::string expected;
};

/// No TCP connection could be opened: no byte of the request has left.
struct ConnectFailed
{
    std::string address;
};

/// The connection broke, or timed out, after bytes of the request may have left.
struct ExchangeBroken
{
    std::string address;
    std::string detail;
};

/// A backend server or a peer answered with something that does not follow its interface.
struct ProtocolViolation
{
    std::string address;
    std::string detail;
};

/// No engine can take the request within its deadline.
struct NoCapacity
{
    std::string pool;
    std::int64_t expectedWaitMs = 0;
};

/// The deadline passed.
struct DeadlineExceeded
{
};

/// The caller closed its connection or cancelled.
struct CallerGone
{
};

/// A message is not authentic: its keyed hash is wrong, or it is a replay.
struct NotAuthentic
{
    std::string detail;
};

/// This entry hears neither its peers nor the platform and cannot know the fleet's state.
struct Isolated
{
};

}
