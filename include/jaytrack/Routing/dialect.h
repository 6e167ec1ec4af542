// Interface that translates between the formats of a platform, its callers and its targets and the
// types used here. Implementations are stateless and make no routing decisions.
#ifndef JAYTRACK_ROUTING_DIALECT_H
#define JAYTRACK_ROUTING_DIALECT_H

#include "jaytrack/Net/message.h"
#include "jaytrack/Routing/routingtable.h"
#include "jaytrack/Routing/targetdirectory.h"
#include "jaytrack/Support/result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaytrack {

// What a generation requires of an engine.
struct GenerationFacts
{
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> expectedOutputTokens; // the caller's estimate
};

// Information in a caller's request besides method, path and body.
struct RequestFacts
{
    std::string attemptId; // identifies this attempt; a retry by the caller has another
    std::string key;       // empty if the request has none
    std::optional<std::chrono::milliseconds> timeLeft;
    std::optional<std::uint64_t> lastEventId;
    std::string resumedAttempt; // that brought the first event of the stream taken up; may be empty
    std::optional<GenerationFacts> generation;

    // Ids of the parts of the prompt that other requests may share, in order. The last part belongs
    // to the request itself or its session and is left out.
    std::vector<std::string> sharedParts;
};

// The point from which a run is resumed at another engine.
struct ResumePoint
{
    std::string source; // IP:PORT at which the handle is valid
    std::string handle;
};

// What the instance adds to a request that it forwards.
struct ForwardOptions
{
    std::chrono::milliseconds timeLeft{0};
    std::string_view targetName; // a target with another name refuses the request
    std::string_view customer;   // empty if the route requires no key
    std::optional<int> priority; // 0 is the most urgent
    std::optional<ResumePoint> resume;
    std::optional<std::uint64_t> lastEventId;
};

// Information in a target's answer besides status and body.
struct AnswerFacts
{
    std::string attemptId;
    bool notExecuted = false; // the target guarantees that it did not run the request
    bool misdirected = false; // the address now belongs to another target
    bool bearsDigest = false; // the target's digest of the answer, which each success has
    bool isEncoded = false;   // the body is not as the target made it
    bool leaving = false;     // the answering target is shutting down
    // The target rejected the request and wants none from this instance for this long.
    std::optional<std::chrono::milliseconds> backOffFor;
    std::optional<std::chrono::milliseconds> coldFor; // the target is cold for this long
    // Requests per second that the target accepts from all instances together.
    std::optional<double> limitPerSecond;
    // The target is brittle: it crashes if it has to refuse more than this many requests within a
    // second because it has no room.
    std::optional<double> toleratedRefusals;
    bool reportsNotBrittle =
            false; // the answer contains nothing that may be meant as that announcement
    bool reportsNoLimit =
            false; // the answer contains no limit and nothing that may be meant as one
};

// A page of items read from the store.
struct StorePage
{
    std::vector<StoreItem> items;
    std::size_t nameless = 0; // number of items left out because their keys are unreadable
    bool more = false;
    std::uint64_t revision = 0; // revision of the whole store when the page was read
};

// How far one run of an engine has come.
struct RunProgress
{
    std::string run; // id of the attempt that it serves
    std::uint32_t events = 0;
};

// An engine's own report of its load, which is some hundred milliseconds old.
struct EngineLoad
{
    int waiting = 0;
    std::uint32_t firstWaitingTokens = 0; // memory required by the first waiting request
    int running = 0;
    std::uint32_t memoryInUse = 0; // in tokens that cannot be evicted
    std::uint32_t memoryTokens = 0;
    bool leaving = false;
    StartTime startedAt = unknownStart; // of the reporting incarnation
    std::vector<RunProgress> runs;      // known only to the instance that polled the engine
    // Mean time between two events of a run, over several reports; zero if it is not known.
    Duration eventInterval{0};
};

// How recent the data of a read has to be. Reads that may be stale are answered by any replica of
// the store, are cheaper, and do not count towards its rate limit, but may lack the changes of the
// last seconds.
enum class ReadFreshness { Current, MayBeStale };

// The result of requesting an engine to copy a run.
struct MoveAnswer
{
    std::string handle; // identifies the copy
};

class Dialect
{
public:
    virtual ~Dialect() = default;

    virtual std::string_view readinessPath() const = 0;
    virtual std::string_view configurationKey() const = 0;
    virtual std::string_view targetsPrefix() const = 0;

    // Prefix of the records of data centres that are out of use.
    virtual std::string_view outOfUsePrefix() const = 0;

    virtual RequestFacts describe(std::span<const HttpHeader> headers) const = 0;
    virtual AnswerFacts describeAnswer(int status, std::span<const HttpHeader> headers) const = 0;

    // Returns the headers of the request as sent to the target, in order.
    virtual std::vector<HttpHeader> forwardHeaders(std::span<const HttpHeader> headers,
                                                   const ForwardOptions &options) const = 0;

    // Returns the header that tells a caller after which delay to retry.
    virtual HttpHeader retryAfterHeader(std::chrono::milliseconds delay) const = 0;

    virtual std::string rangeTarget(std::string_view prefix, std::string_view after,
                                    ReadFreshness freshness) const = 0;
    virtual std::string watchTarget(std::string_view prefix, std::uint64_t after,
                                    std::chrono::milliseconds wait) const = 0;
    // Returns the number of the store history to which the answer belongs; the number increases
    // when the store is restored from an older copy. Empty if the answer does not contain it.
    virtual std::optional<std::uint64_t> storeEra(std::span<const HttpHeader> headers) const = 0;

    virtual Result<StorePage> decodePage(std::string_view body) const = 0;
    virtual Result<StorePage> decodeChanges(std::string_view body) const = 0;

    virtual Result<RoutingTable> decodeConfiguration(std::string_view value) const = 0;
    virtual Result<TargetEntry> decodeTarget(std::string_view key,
                                             std::string_view value) const = 0;

    virtual std::string_view loadPath() const = 0;
    virtual Result<EngineLoad> decodeLoad(std::string_view body) const = 0;

    virtual std::string_view movePath() const = 0;
    // Fails if the order cannot name a run with this id.
    virtual Result<std::string> encodeMove(std::string_view attemptId, std::string_view destination,
                                           bool last) const = 0;
    virtual Result<MoveAnswer> decodeMove(std::string_view body) const = 0;

    // Returns the path of a copy at its source, by which it can be dropped; empty if no path can
    // name it.
    virtual std::string copyPath(std::string_view handle) const = 0;
};

} // namespace jaytrack

#endif
