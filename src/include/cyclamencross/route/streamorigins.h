#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/streamorigin.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

namespace Cyclamen
{

/// Knows at which software version streams began: those of this router, of the routers of its group, and those that
/// routers have recorded in the store. What it knows stays true, however old it is.
class StreamOrigins
{
public:
    /// Longest time for which a stream can be taken up.
    static constexpr Millis MaxLifetime{300000};
    /// Bounds the memory; streams beyond that cannot be taken up. Several seconds of the largest group's streams.
    static constexpr std::size_t MaxStreams = 1U << 16U;
    /// Streams that are told at a time, so that a report fits into a datagram.
    static constexpr std::size_t MaxTold = 500;
    /// Number of reports in which a stream is told, since datagrams may be lost.
    static constexpr int Repetitions = 2;

    /// Returns the key of a stream.
    /// @param requestId of the caller's attempt that received the first event.
    /// @param workspace of the caller, so that nobody can name the stream of another; empty if there is none.
    static std::uint64_t keyOf(const std::string &service, const std::string &workspace, const std::string &requestId);

    /// Records a stream of this router.
    /// @param lifetime time for which its caller may take it up.
    void begin(const std::string &service, std::uint64_t key, const std::string &version, Millis lifetime,
               TimePoint now);
    /// Records streams of which a peer or the store has told.
    /// @return whether any of them was not known.
    bool learn(const StreamOriginsByVersion &told, bool fromStore, TimePoint now);
    /// Returns the version at which a stream began; nullptr if it is not known.
    const std::string *find(std::uint64_t key) const;
    /// Returns streams of this router to be told to peers.
    /// @param isNeeded whether streams of a service have to be told.
    StreamOriginsByVersion takeUntold(const std::function<bool(const std::string &service)> &isNeeded, TimePoint now);
    /// Returns the streams that are known for @p minAge or longer and not from the store, at most MaxTold.
    /// @param isNeeded whether streams of a service of this router have to be recorded in the store.
    StreamOriginsByVersion unstored(const std::function<bool(const std::string &service)> &isNeeded, Millis minAge,
                                    TimePoint now) const;
    /// Records that streams are in the store.
    void markStored(const StreamOriginsByVersion &stored);
    /// Records that the store may have lost all streams.
    void markAllUnstored();
    /// Drops streams that cannot be taken up any more.
    void expire(TimePoint now);
    std::size_t size() const;

private:
    struct Stream
    {
        std::string service; ///< Empty if a peer has told of it, which does so only where it is needed.
        std::string version;
        TimePoint since; ///< When this router learned of it.
        TimePoint until;
        int tellsLeft = 0;
        bool stored = false;
    };

    std::unordered_map<std::uint64_t, Stream> streams;
    std::deque<std::uint64_t> untold; ///< Keys of the streams of this router with `tellsLeft`.
    std::deque<std::uint64_t> notStored; ///< Keys of the streams that were not in the store.
};

}
