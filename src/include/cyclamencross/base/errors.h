#pragma once

#include <cstdint>
#include <string>

/// Error types that functions pass to other libraries of this program in a `boost::leaf::result`.
namespace Cyclamen
{

/// The key-value service did not reply, or replied with a server error.
struct KeyValueUnavailable
{
    std::string detail;
};

/// A write was rejected because of a concurrent change: the stored revision differs from the expected one.
struct RevisionConflict
{
    std::uint64_t expected = 0;
    std::uint64_t found = 0;
};

/// A settings or configuration file is unreadable, or invalid at one line or key.
struct InvalidSetting
{
    std::string file;
    int line = 0; ///< Counted from 1; 0 if the error belongs to no line.
    std::string key; ///< Key, section or field that is invalid; may be empty.
    std::string expected; ///< What is valid there; completes "expected ..." in error messages.
};

/// No TCP connection could be opened, so no part of the request was sent.
struct ConnectFailed
{
    std::string address;
};

/// The connection was lost or timed out after part of the request may have been sent.
struct ExchangeFailed
{
    std::string address;
    std::string detail;
};

/// A backend server or a peer sent a reply that violates its protocol.
struct ProtocolViolation
{
    std::string address;
    std::string detail;
};

/// No engine has capacity for the request before its deadline.
struct NoCapacity
{
    std::string pool;
    std::int64_t expectedWaitMs = 0;
    /// Whether the engine is out of use, so that the refusal says nothing about others: it is leaving, or its owner has
    /// no recent report of it.
    bool isEngineOut = false;
};

/// The deadline of the request passed.
struct DeadlineExceeded
{
};

/// The caller closed its connection or cancelled the request.
struct CallerDisconnected
{
};

/// A message failed authentication: its keyed hash is wrong, or it is a replay.
struct AuthenticationFailed
{
    std::string detail;
};

/// This entry receives nothing from its peers or the platform, so its view of the fleet may be out of date.
struct Isolated
{
};

}
