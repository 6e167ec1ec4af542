// The words that a platform, its callers and its targets use, as an interface. An implementation
// translates and holds no state; what is decided from the result is decided elsewhere.
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

// What a generation asks of an engine.
struct GenerationFacts
{
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::optional<std::uint32_t> expectedOutputTokens; // the caller's own guess
};

// What a caller's request says besides method, path and body.
struct RequestFacts
{
    std::string attemptId; // names this attempt; a caller's retry has another
    std::string key;       // empty if none was given
    std::optional<std::chrono::milliseconds> timeLeft;
    std::optional<std::uint64_t> lastEventId;
    std::optional<GenerationFacts> generation;
};

// From where a run goes on at another engine.
struct ResumePoint
{
    std::string source; // IP:PORT at which the handle is known
    std::string handle;
};

// What the instance adds to a request that it passes on.
struct ForwardOptions
{
    std::chrono::milliseconds timeLeft{0};
    std::string_view targetName; // the target refuses the request if it is another one
    std::string_view customer;   // empty if the route needs no key
    std::optional<int> priority; // 0 is the most urgent
    std::optional<ResumePoint> resume;
    std::optional<std::uint64_t> lastEventId;
};

// What a target's answer says besides status and body.
struct AnswerFacts
{
    std::string attemptId;
    bool notExecuted = false; // the target vouches that it did not run the request
    bool misdirected = false; // the address belongs to another target by now
    bool leaving = false;     // the target that answers leaves
    // The target turned the request away and wants none from this instance for so long.
    std::optional<std::chrono::milliseconds> backOffFor;
    std::optional<std::chrono::milliseconds> coldFor; // the target is cold for so long
    // Requests a second that the target takes from all instances together.
    std::optional<double> limitPerSecond;
    bool reportsNoLimit = false; // neither a limit nor anything that may be meant for one
};

// A page of the store.
struct StorePage
{
    std::vector<StoreItem> items;
    std::size_t nameless = 0; // items without a readable key, which are left out
    bool more = false;
    std::uint64_t revision = 0; // of the whole store, when the page was read
};

// An engine's own view of its load, some hundred milliseconds old.
struct EngineLoad
{
    int waiting = 0;
    std::uint32_t firstWaitingTokens = 0; // memory that the first of them needs
    int running = 0;
    std::uint32_t memoryInUse = 0; // tokens that cannot be evicted
    std::uint32_t memoryTokens = 0;
    bool leaving = false;
    StartTime startedAt = unknownStart; // of the life that reports
};

// The outcome of asking an engine to copy a run.
struct MoveAnswer
{
    std::string handle; // names the copy
};

class Dialect
{
public:
    virtual ~Dialect() = default;

    virtual std::string_view readinessPath() const = 0;
    virtual std::string_view configurationKey() const = 0;
    virtual std::string_view targetsPrefix() const = 0;

    // Under it lies a record for each data centre that is out of use.
    virtual std::string_view outOfUsePrefix() const = 0;

    virtual RequestFacts describe(std::span<const HttpHeader> headers) const = 0;
    virtual AnswerFacts describeAnswer(int status, std::span<const HttpHeader> headers) const = 0;

    // The headers of the request as the target shall see them, in order.
    virtual std::vector<HttpHeader> forwardHeaders(std::span<const HttpHeader> headers,
                                                   const ForwardOptions &orders) const = 0;

    // The header by which a caller is told when to come back.
    virtual HttpHeader retryAfterHeader(std::chrono::milliseconds delay) const = 0;

    virtual std::string rangeTarget(std::string_view prefix, std::string_view after) const = 0;
    virtual std::string watchTarget(std::string_view prefix, std::uint64_t after,
                                    std::chrono::milliseconds wait) const = 0;
    // The number of the history that the store's answer belongs to: it rises when the store comes
    // back from an older copy. Nothing if it is not told.
    virtual std::optional<std::uint64_t> storeEra(std::span<const HttpHeader> headers) const = 0;

    virtual Result<StorePage> decodePage(std::string_view body) const = 0;
    virtual Result<StorePage> decodeChanges(std::string_view body) const = 0;

    virtual Result<RoutingTable> decodeConfiguration(std::string_view value) const = 0;
    virtual Result<TargetEntry> decodeTarget(std::string_view key,
                                             std::string_view value) const = 0;

    virtual std::string_view loadPath() const = 0;
    virtual Result<EngineLoad> decodeLoad(std::string_view body) const = 0;

    virtual std::string_view movePath() const = 0;
    virtual std::string encodeMove(std::string_view attemptId, std::string_view destination,
                                   bool last) const = 0;
    virtual Result<MoveAnswer> decodeMove(std::string_view body) const = 0;
};

} // namespace jaytrack

#endif
