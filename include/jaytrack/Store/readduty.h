// Decides which instances read the store themselves.
//
// Calls to the store are priced and rate-limited for all instances together. Normally a few readers
// are enough. When the store, the network or the readers have problems, the data of all instances
// becomes stale at the same time; if each then read the store itself, 195 instances would make 180
// calls a second to a store that may be down. Instead, a few randomly chosen instances read, and
// the choice is repeated periodically. They are as likely to reach the store as all would be, and
// pass on what they read to the others.
#ifndef JAYTRACK_STORE_READDUTY_H
#define JAYTRACK_STORE_READDUTY_H

#include "jaytrack/Support/clock.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct ReadDutyOptions
{
    // Every instance must know a change within this time. Several waits are fractions of it.
    Duration changeBound = std::chrono::milliseconds(2000);

    // Readers in the whole fleet. Each pauses after a change before it reads again. Three rarely
    // pause at the same time, and any two may be disconnected.
    std::size_t readers = 3;

    // An instance whose data was not confirmed for this long may read the store itself. While
    // nothing changes, a reader is confirmed at least every 1.2 s, as of the start of its query,
    // and is queried by the others every 0.3 s, so ages up to 2.7 s are normal.
    Duration maxAge = std::chrono::milliseconds(2800);

    // Interval between two freshness queries of an instance that does not read, as a fraction of
    // changeBound, and its upper bound.
    double queryIntervalFraction = 0.15;
    Duration maxQueryInterval = std::chrono::milliseconds(300);

    // Fraction of changeBound after which an instance to whose queries no reader has answered may
    // read the store itself: long enough for a query to one reader and a second one to all.
    // Together with the interval of queries it leaves half of the bound to read the change and pass
    // it on.
    double readerSilenceFraction = 0.3;

    // Minimum time for which such an instance keeps reading, so that single lost datagrams do not
    // make it switch back and forth. An instance that was not chosen draws again after this time.
    Duration minReadTime = std::chrono::milliseconds(3000);

    // Data older than this shows that no instance reaches the store. If only the readers fail, the
    // instances chosen after maxAge confirm the data within half a second.
    Duration outageAge = std::chrono::milliseconds(4000);

    // An instance that is no longer a reader keeps reading for this long: the time of two queries,
    // 0.3 s apart, to one of the new readers.
    Duration handoverTime = std::chrono::milliseconds(600);

    // Expected number of instances that read in addition to the readers while data is stale. If the
    // store rejects nine of ten calls, at least one of sixteen is served in four draws of five.
    std::size_t readersWhenStale = 16;

    // An instance that has just started and listed the store waits this long to discover other
    // instances before it follows the store itself. This saves two to three calls at each start,
    // and the listed data is recent enough meanwhile.
    Duration peerDiscoveryTime = std::chrono::milliseconds(1200);

    // An instance that no other instance has answered for this long cannot receive updates and
    // reads the store in any case.
    Duration peerAnswerTimeout = std::chrono::milliseconds(1000);
};

// Tracks the peers and the freshness of the local data to decide whether this instance reads the
// store.
class ReadDuty
{
public:
    ReadDuty(const Clock &time, std::string ownName, ReadDutyOptions dutyOptions,
             std::mt19937_64 &source);

    // Sets the names of the other live instances.
    void setPeers(std::span<const std::string> others);

    // Records that a freshness query was sent to a peer.
    void queried(std::string_view peer);

    // Records that a peer answered a freshness query, with the age of its data.
    void answered(std::string_view peer, Duration age);

    // Records that this process was paused until now. What others sent meanwhile says nothing about
    // them.
    void resumed();

    // Returns the interval between two freshness queries.
    Duration queryInterval() const
    {
        return std::min(this->options.maxQueryInterval,
                        this->fractionOfBound(this->options.queryIntervalFraction));
    }

    // Whether this instance reads the store now, given the age of its data.
    bool reads(Duration age);

    bool isReader() const { return this->reader; }

    // Whether this instance sends what it reads to the others. The readers do, and so do instances
    // chosen while data was stale, since the readers may be the ones that are disconnected.
    bool sharesReads() const { return this->reader || this->clock.now() < this->chosenUntil; }

    // Whether data of this age means that no instance reaches the store.
    bool showsOutage(Duration age) const { return age > this->options.outageAge; }

    // Returns the peer to query for freshness, given the age of the local data; empty if there is
    // none. The reader that last had recent data is preferred, because a reader that the store
    // rejects also answers queries. While data is becoming old, readers and arbitrary peers are
    // queried alternately, because a randomly chosen instance may have newer data.
    std::string choosePeerToQuery(Duration age);

    // Returns the peers to query for freshness now: one; or, if a query to a reader was not
    // answered, all readers and another peer, and one reader and another peer once they count as
    // silent.
    std::vector<std::string> choosePeersToQuery(Duration age);

    // Whether the readers have not answered for so long that none of them may be alive. They are
    // the first to know of a change, so the age of the local data would show it too late.
    bool readersAreSilent() const;

private:
    bool isReaderName(std::string_view peer) const;
    Duration fractionOfBound(double fraction) const
    {
        return std::chrono::duration_cast<Duration>(this->options.changeBound * fraction);
    }
    bool mayReadersBeLost(Duration age) const;
    bool drawsToRead();
    bool awaitsPeers() const;
    bool isOld(Duration age) const;

    const Clock &clock;
    std::string name;
    ReadDutyOptions options;
    std::mt19937_64 &random;
    std::vector<std::string> peers;
    std::vector<std::string> readers; // without this instance
    bool reader = true;
    bool queryAnyPeer = false;
    TimePoint startedAt;
    TimePoint readUntil;
    TimePoint chosenUntil;
    TimePoint nextDraw;
    TimePoint answeredAt;
    std::optional<TimePoint> unansweredSince; // first query to a reader since one answered
    std::string lastFreshReader;              // the last reader that answered with recent data
};

} // namespace jaytrack

#endif
