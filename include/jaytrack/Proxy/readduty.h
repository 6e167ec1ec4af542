// Which instances read the store themselves.
//
// Load that it answers: calls to the store are priced and limited for all instances together. A few
// readers do for calm times. In a bad hour of the store, of links or of the readers the knowledge
// of all instances grows old at the same moment; if each then read for itself, 195 of them would
// make 180 calls a second to a store that may be down. Some, drawn anew from time to time, find a
// way as well as all would, and the rest hear of it from them.
#ifndef JAYTRACK_PROXY_READDUTY_H
#define JAYTRACK_PROXY_READDUTY_H

#include "jaytrack/Support/clock.h"

#include <cstddef>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct ReadDutyOptions
{
    // Readers in the whole fleet. After a change each pauses before it asks again; three rarely
    // pause all at once, and any two may be cut off.
    std::size_t readers = 3;

    // An instance whose knowledge was not confirmed for this long may read for itself. A reader
    // whose questions nothing answers is confirmed every 1.2 s at most, as of the question's start,
    // and asked every 0.3 s, so ages up to 2.7 s are no sign of trouble.
    Duration mostAge = std::chrono::milliseconds(2800);

    // And goes on doing so for this long at least, so that it does not change its mind at each loss
    // of a datagram. Whoever was not drawn is drawn again after it.
    Duration readAtLeast = std::chrono::milliseconds(3000);

    // Knowledge that is older than this shows that nobody reaches the store. Where the readers
    // alone fail, those that are drawn after mostAge confirm it within half a second.
    Duration outageAge = std::chrono::milliseconds(4000);

    // An instance that finds that others are readers reads on for this long: two questions of 0.3 s
    // to one of them.
    Duration handOverTime = std::chrono::milliseconds(600);

    // Instances that read in a bad hour, beside the readers. If the store turns nine of ten away,
    // one of sixteen is served in four draws of five.
    std::size_t readersInTrouble = 16;

    // An instance that has just started has listed the store, and waits this long to hear of others
    // before it follows the store by itself: two to three calls at each start of each instance, and
    // what it listed is young enough meanwhile.
    Duration aloneAfter = std::chrono::milliseconds(1200);

    // An instance that no other answered for this long cannot be told and reads in any case.
    Duration unansweredTime = std::chrono::milliseconds(1000);
};

class ReadDuty
{
public:
    ReadDuty(const Clock &time, std::string ownName, ReadDutyOptions given,
             std::mt19937_64 &source);

    // The names of the other instances that are up.
    void setPeers(std::span<const std::string> others);

    // Another instance answered a question of this one, its own knowledge being that old.
    void answered(std::string_view peer, Duration age);

    // Whether this instance reads now, its knowledge being that old.
    bool reads(Duration age);

    bool isReader() const { return this->reader; }

    // Whether this instance tells the others what it reads: the readers do, and in a bad hour those
    // that were drawn, since the readers may be the ones that are cut off.
    bool passesOn() const { return this->reader || this->clock.now() < this->drawnUntil; }

    // Whether knowledge of this age means that nobody reaches the store.
    bool showsOutage(Duration age) const { return age > this->options.outageAge; }

    // Whom to ask how old this instance's knowledge is, that of this age; empty if there is nobody.
    // Whoever last knew it well is asked again: a reader that the store turns away answers too.
    // While knowledge grows old any instance is asked by turns with the readers: one of those that
    // were drawn may know more.
    std::string whomToAsk(Duration age);

private:
    bool isDrawn();
    bool awaitsPeers() const;
    bool isOld(Duration age) const;

    const Clock &clock;
    std::string name;
    ReadDutyOptions options;
    std::mt19937_64 &random;
    std::vector<std::string> peers;
    std::vector<std::string> readers; // without this instance
    bool reader = true;
    bool askAnybody = false;
    TimePoint startedAt;
    TimePoint readUntil;
    TimePoint drawnUntil;
    TimePoint nextDraw;
    TimePoint answeredAt;
    std::string lastGood; // reader that answered last with knowledge that was not old
};

} // namespace jaytrack

#endif
