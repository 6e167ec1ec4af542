// Chooses the instance through which a target is called that this instance does not reach itself.
//
// Whole data centres may be cut off at once, so an instance that could not help is left out for a
// while, and the instances of the own data centre go first only as long as they can help.
#ifndef JAYTRACK_ROUTING_RELAYPEERS_H
#define JAYTRACK_ROUTING_RELAYPEERS_H

#include "jaytrack/Support/clock.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

struct RelayPeer
{
    std::string name;
    std::string dataCentre;
    std::string address; // IP:PORT
};

class RelayPeers
{
public:
    RelayPeers(const Clock &time, std::string ownDataCentre, std::uint64_t seed);

    // Sets the other instances that accept work.
    void setPeers(std::vector<RelayPeer> others);

    // Whether requests may pass through a data centre.
    using DataCentreFilter = std::function<bool(std::string_view dataCentre)>;

    // Returns a random instance that is not left out; null if there is none. An empty filter allows
    // all data centres.
    const RelayPeer *choose(const std::set<std::string> &tried, const DataCentreFilter &allows);

    // Records that the instance reached a target.
    void recordServed(std::string_view name);

    // Records that the instance failed to connect to a target. Returns true if it has lately
    // reached another one, so that the target is down rather than that instance's links.
    bool recordMissed(std::string_view name);

    // Records that the instance reaches no target, or cannot be reached itself.
    void recordUnable(std::string_view name);

private:
    struct Experience
    {
        std::optional<TimePoint> servedAt;
        int failuresInRow = 0;
        TimePoint leftOutUntil;
    };

    const RelayPeer *chooseAmong(const std::vector<RelayPeer> &group,
                                 const std::set<std::string> &tried,
                                 const DataCentreFilter &allows);
    bool isLeftOut(const RelayPeer &peer) const;

    const Clock &clock;
    std::string home;
    std::mt19937_64 random;
    std::vector<RelayPeer> near; // of the own data centre
    std::vector<RelayPeer> far;
    std::map<std::string, Experience, std::less<>> experiences; // by instance
};

} // namespace jaytrack

#endif
