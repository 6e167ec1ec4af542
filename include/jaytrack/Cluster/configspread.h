// How a revision of the configuration reaches every instance, whoever read it first, and how an
// instance knows whether what it holds may be old.
#ifndef JAYTRACK_CLUSTER_CONFIGSPREAD_H
#define JAYTRACK_CLUSTER_CONFIGSPREAD_H

#include "jaytrack/Support/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace jaytrack {

// Where documents come into force.
class DocumentSink
{
public:
    virtual ~DocumentSink() = default;

    // Offers a document; taken only if it is newer than the one in force and well formed.
    virtual void offer(std::string_view bytes, std::uint64_t revision, std::string_view source) = 0;
    virtual std::uint64_t revision() const = 0;
};

// Asks a peer for its document. The answer comes to ConfigSpread::onFetched.
class DocumentFetcher
{
public:
    virtual ~DocumentFetcher() = default;
    virtual void fetchDocument(const std::string &peerAddress) = 0;
};

struct ConfigSpreadOptions
{
    Duration fetchTimeout = std::chrono::seconds(2);
    Duration readyDelay = std::chrono::milliseconds(1500); // to hear from peers at start
    Duration cautiousAfter = std::chrono::seconds(10);     // without confirmation
};

// Not safe for several threads at once.
class ConfigSpread
{
public:
    ConfigSpread(const Clock &time, std::uint64_t seed, DocumentSink &target,
                 DocumentFetcher &source, const ConfigSpreadOptions &chosen = {});

    // A peer has this revision in force, which it knew to be the newest so long ago; askedAt is
    // when the question was put that it answered, or nothing if it spoke unasked.
    void onPeer(const std::string &peerAddress, std::uint64_t revision, Duration age,
                std::optional<TimePoint> askedAt);

    // The service answered a question put at that moment, and has nothing newer than this.
    void onService(std::uint64_t revision, TimePoint askedAt);

    // A fetch ended; the bytes are nothing if it failed.
    void onFetched(const std::string &peerAddress, std::uint64_t revision,
                   const std::optional<std::string> &bytes);

    void tick();

    // How long ago the revision in force was known to be the newest.
    Duration age() const;

    // Whether the rules in force may have been replaced without this instance knowing. It then
    // goes on, but repeats nothing that a newer rule might forbid to repeat.
    bool cautious() const;

    // Whether this instance has heard enough since its start to serve. One that started from a
    // stale replica alone would serve under rules that the others have left behind.
    bool mayServe() const;

private:
    void confirm(TimePoint at);
    void maybeFetch();

    const Clock &clock;
    std::mt19937_64 random;
    DocumentSink &sink;
    DocumentFetcher &fetcher;
    ConfigSpreadOptions options;
    TimePoint startedAt;
    TimePoint confirmedAt;
    bool everConfirmed = false;
    bool peerCompared = false;                  // some peer answered and had nothing newer
    std::map<std::string, std::uint64_t> ahead; // peers that claim a newer revision
    std::string fetchingFrom;
    TimePoint fetchingSince;
};

} // namespace jaytrack

#endif
