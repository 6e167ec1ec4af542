// Propagates configuration revisions between instances, whichever instance reads a revision first,
// and tracks whether the local revision may be outdated.
#ifndef JAYTRACK_CLUSTER_CONFIGPROPAGATION_H
#define JAYTRACK_CLUSTER_CONFIGPROPAGATION_H

#include "jaytrack/Support/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace jaytrack {

// Applies configuration documents.
class DocumentSink
{
public:
    virtual ~DocumentSink() = default;

    // Offers a document. It is applied only if it is well-formed and newer than the one in
    // force.
    virtual void offer(std::string_view bytes, std::uint64_t revision, std::string_view source) = 0;
    virtual std::uint64_t revision() const = 0;
};

// Requests the document of a peer. The answer is passed to onFetched().
class DocumentFetcher
{
public:
    virtual ~DocumentFetcher() = default;
    virtual void fetchDocument(const std::string &peerAddress) = 0;
};

struct ConfigPropagationOptions
{
    Duration fetchTimeout = std::chrono::seconds(2);
    // Time to wait for answers of peers after the start.
    Duration readyDelay = std::chrono::milliseconds(1500);
    // Time after which a document that was refused is fetched again. Two versions of this program
    // may differ in what they refuse.
    Duration refusedPause = std::chrono::seconds(4);
    Duration staleAfter = std::chrono::seconds(10); // maximum time without confirmation
};

// Fetches newer revisions from peers and records when the revision in force was last confirmed. Not
// thread-safe.
class ConfigPropagation
{
public:
    ConfigPropagation(const Clock &clockSource, std::uint64_t seed, DocumentSink &documentSink,
                      DocumentFetcher &documentFetcher,
                      const ConfigPropagationOptions &initialOptions = {});

    // Handles the revision that a peer has in force. `age` is how long ago the peer knew it to
    // be the newest. `requestedAt` is when the request was sent that the peer answered, or empty
    // for an unsolicited message.
    void onPeer(const std::string &peerAddress, std::uint64_t revision, Duration age,
                std::optional<TimePoint> requestedAt);

    // Handles an answer of the configuration service to a request sent at `requestedAt`: `revision`
    // is the newest one that the service has.
    void onService(std::uint64_t revision, TimePoint requestedAt);

    // Handles the end of a fetch. `bytes` is empty if the fetch failed.
    void onFetched(const std::string &peerAddress, std::uint64_t revision,
                   const std::optional<std::string> &bytes);

    void tick();

    // Returns how long ago the revision in force was known to be the newest.
    Duration age() const;

    // Whether the rules in force may have been replaced without this instance knowing. The
    // instance then continues to serve, but does not retry anything that a newer rule might
    // forbid to retry.
    bool mayBeStale() const;

    // Whether this instance has compared its revision with enough peers since its start to
    // serve. Otherwise an instance started from a stale replica would serve with rules that the
    // others have already replaced.
    bool mayServe() const;

private:
    void confirm(TimePoint at);
    void maybeFetch();
    bool isRefused(std::uint64_t revision) const;

    const Clock &clock;
    std::mt19937_64 random;
    DocumentSink &sink;
    DocumentFetcher &fetcher;
    ConfigPropagationOptions options;
    TimePoint startedAt;
    TimePoint confirmedAt;
    bool everConfirmed = false;
    bool comparedWithPeer = false;                   // a peer answered and had no newer revision
    std::map<std::string, std::uint64_t> newerPeers; // peers that report a newer revision
    std::string fetchingFrom;
    TimePoint fetchingSince;
    std::uint64_t refusedRevision = 0; // of the last document that did not come into force
    TimePoint refusedAt;
};

} // namespace jaytrack

#endif
