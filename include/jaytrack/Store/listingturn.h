// Decides when an instance that has no listing of the store lists the whole of it by itself.
//
// After a loss of power all instances of a fleet start at the same moment, and after the store was
// restored from an older copy all of them need another listing. If each of 584 listed
// 6,002 targets in 31 pages, that would take more than a gigabyte of a store whose link carries an
// eighth of that in a second: answers come later than they are waited for, are asked for again, and
// no listing ever ends. Instead a few instances list the store, and all others get from one another
// what those have listed. Until one of them has done so, more are drawn, since the store may refuse
// some.
#ifndef JAYTRACK_STORE_LISTINGTURN_H
#define JAYTRACK_STORE_LISTINGTURN_H

#include "jaytrack/Support/clock.h"

#include <cstddef>
#include <random>
#include <string_view>

namespace jaytrack {

struct ListingTurnOptions
{
    // Time for which an instance that has started waits until it knows most of the others. Before,
    // it would count as a reader, and would be drawn from too few.
    Duration peerDiscoveryTime = std::chrono::milliseconds(1500);

    // Interval between draws, which is more than a listing by a small machine takes, and the
    // expected number of instances that begin to list with the first of them, beside the readers.
    // It doubles with each draw.
    Duration drawInterval = std::chrono::milliseconds(2000);
    std::size_t firstDrawn = 4;

    // An instance that gets no answer for this long, and to this many queries, cannot get the
    // targets from another one. The second condition excludes an instance whose own event loop is
    // delayed: it sends fewer queries, and reads their answers late.
    Duration peerAnswerTimeout = std::chrono::milliseconds(1000);
    int minUnansweredQueries = 4;
};

// Why an instance lists the store by itself.
enum class ListingCause { None, Alone, Unanswered, Reader, Drawn };

std::string_view toString(ListingCause cause);

class ListingTurn
{
public:
    ListingTurn(const Clock &time, ListingTurnOptions turnOptions, std::mt19937_64 &source);

    // Begins anew, since another listing is needed. The others are known by now.
    void restart();

    // Sets the number of other instances that are up, and whether this one is a reader.
    void setPeers(std::size_t others, bool isReader);

    // Records that another instance was asked what it holds.
    void asked() { ++this->unansweredQueries; }

    // Records that another instance answered, whether it holds anything or not.
    void answered();

    // Returns why this instance lists the store now; None if it waits for others to do so. A turn
    // that has begun does not end.
    ListingCause cause();

private:
    ListingCause decide(TimePoint now);
    bool isUnanswered(TimePoint now) const;
    bool isDrawn(TimePoint now);

    const Clock &clock;
    ListingTurnOptions options;
    std::mt19937_64 &random;
    std::size_t peers = 0;
    bool reader = false;
    ListingCause current = ListingCause::None;
    std::size_t drawn;
    TimePoint decidesFrom;
    TimePoint answeredAt;
    int unansweredQueries = 0;
    TimePoint nextDraw;
};

} // namespace jaytrack

#endif
