#include "jaytrack/Serve/platformreader.h"

#include "jaytrack/Config/document.h"
#include "jaytrack/Http/client.h"
#include "jaytrack/Serve/targetmessages.h"
#include "jaytrack/Stream/handle.h"
#include "jaytrack/Support/log.h"

#include <algorithm>
#include <utility>

namespace jaytrack {

namespace {

// How long the configuration service keeps a long poll open. The response at its end confirms that
// no newer revision exists, so it must arrive well before this instance treats its configuration as
// possibly outdated.
constexpr std::chrono::seconds watchTimeout{5};
constexpr std::chrono::seconds responseTimeout{5};
constexpr std::chrono::milliseconds initialBackoff{250};
constexpr std::chrono::seconds maxBackoff{4};
constexpr std::chrono::seconds instancesInterval{10};
constexpr int notModified = 304;
constexpr int statusOk = 200;

// Schedules one repeated read, with exponential back-off after failures.
class Pacing
{
public:
    bool isDue(TimePoint now) const { return !this->waiting && now >= this->nextAt; }
    void began() { this->waiting = true; }

    void succeeded(TimePoint now, Duration gap)
    {
        this->waiting = false;
        this->backoff = initialBackoff;
        this->nextAt = now + gap;
    }

    void failed(TimePoint now, std::mt19937_64 &random)
    {
        this->waiting = false;
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        this->nextAt = now + std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(this->backoff) * jitter(random));
        this->backoff = std::min<Duration>(this->backoff * 2, maxBackoff);
    }

private:
    bool waiting = false;
    TimePoint nextAt;
    Duration backoff = initialBackoff;
};

// Logs a failure when it begins and when its reason changes, and the first success after it.
class FailureLog
{
public:
    explicit FailureLog(std::string_view readName)
        : name(readName)
    {
    }

    void failed(int status, std::string_view detail)
    {
        std::string reason = std::to_string(status) + " " + std::string(detail);
        if (std::exchange(this->lastReason, reason) == reason)
            return;
        logEvent(Severity::Warning, "platform_read_failed",
                 {{"code", static_cast<int>(ResultCode::PlatformUnreachable)},
                  {"what", this->name},
                  {"status", status},
                  {"detail", detail}});
    }

    void succeeded()
    {
        if (this->lastReason.empty())
            return;
        this->lastReason.clear();
        logEvent(Severity::Info, "platform_read_recovered", {{"what", this->name}});
    }

private:
    std::string_view name;
    std::string lastReason; // empty after a success
};

// Returns why an answer cannot be used as a document or a list.
std::string_view failureDetail(const FetchedAnswer &answer)
{
    return answer.end.whole && answer.end.status == statusOk ? "the answer is malformed"
                                                             : std::string_view(answer.end.error);
}

class HttpPlatform final : public Platform
{
public:
    HttpPlatform(HttpClient &httpClient, const Clock &time, std::uint64_t seed,
                 std::string documentUrl, std::string listUrl, PlatformListener &target)
        : client(httpClient)
        , clock(time)
        , configUrl(std::move(documentUrl))
        , instancesUrl(std::move(listUrl))
        , listener(target)
        , state(std::make_shared<State>())
    {
        this->state->random.seed(seed);
        this->state->owner = this;
    }

    ~HttpPlatform() override
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->owner = nullptr;
    }

    HttpPlatform(const HttpPlatform &) = delete;
    HttpPlatform &operator=(const HttpPlatform &) = delete;

    void tick() override
    {
        const TimePoint now = this->clock.now();
        bool readDocument = false;
        bool readInstances = false;
        {
            const std::lock_guard lock(this->state->mutex);
            readDocument = this->state->document.isDue(now);
            if (readDocument)
                this->state->document.began();
            readInstances = !this->instancesUrl.empty() && this->state->instances.isDue(now);
            if (readInstances)
                this->state->instances.began();
        }
        if (readDocument)
            this->fetchDocument(now);
        if (readInstances)
            this->fetchInstances(now);
    }

private:
    // Shared with pending callbacks, so that it outlives the reader until the last response
    // arrives.
    struct State
    {
        std::recursive_mutex mutex;
        HttpPlatform *owner = nullptr;
        std::mt19937_64 random;
        Pacing document;
        Pacing instances;
        FailureLog documentFailures{"document"};
        FailureLog instancesFailures{"instances"};
        std::uint64_t offeredRevision = 0; // of the last document that was passed on
    };

    void startRead(HttpCall call,
                   std::function<void(HttpPlatform &, const FetchedAnswer &)> handler)
    {
        static constexpr std::size_t maxResponseBytes = 2 * maxDocumentBytes;
        call.mayRepeat = true;
        fetchLater(this->client, std::move(call), maxResponseBytes,
                   [sharedState = this->state,
                    handler = std::move(handler)](const FetchedAnswer &answer) {
                       const std::lock_guard lock(sharedState->mutex);
                       if (sharedState->owner != nullptr)
                           handler(*sharedState->owner, answer);
                   });
    }

    void fetchDocument(TimePoint requestedAt)
    {
        HttpCall call;
        const std::uint64_t knownRevision = this->listener.revisionInForce();
        call.url = this->configUrl;
        if (knownRevision != 0)
            call.url += "?after=" + std::to_string(knownRevision) + "&wait_ms=" +
                        std::to_string(std::chrono::milliseconds(watchTimeout).count());
        call.totalTimeout = watchTimeout + responseTimeout;
        this->startRead(std::move(call),
                        [requestedAt](HttpPlatform &self, const FetchedAnswer &answer) {
                            self.onDocument(answer, requestedAt);
                        });
    }

    void onDocument(const FetchedAnswer &answer, TimePoint requestedAt)
    {
        const TimePoint now = this->clock.now();
        const auto revision = parseIndex(findHeader(answer.headers, "Config-Revision"));
        const bool changed = answer.end.whole && answer.end.status == statusOk && revision;
        const bool unchanged = answer.end.whole && answer.end.status == notModified;
        if (!changed && !unchanged) {
            this->state->document.failed(now, this->state->random);
            this->state->documentFailures.failed(answer.end.status, failureDetail(answer));
            return;
        }
        this->state->documentFailures.succeeded();
        if (unchanged) {
            this->state->document.succeeded(now, Duration(0));
            this->listener.onUnchanged(requestedAt);
            return;
        }
        // A replica that lags behind, and a service with a faulty document, respond immediately
        // with a revision that has been passed on already. Polling again without a delay would
        // flood the service with reads from the whole fleet.
        const bool isOffered = std::exchange(this->state->offeredRevision, *revision) == *revision;
        if (isOffered || *revision <= this->listener.revisionInForce())
            this->state->document.failed(now, this->state->random);
        else
            this->state->document.succeeded(now, Duration(0));
        this->listener.onDocument(answer.body, *revision, requestedAt);
    }

    void fetchInstances(TimePoint requestedAt)
    {
        HttpCall call;
        call.url = this->instancesUrl;
        call.totalTimeout = responseTimeout;
        this->startRead(std::move(call),
                        [requestedAt](HttpPlatform &self, const FetchedAnswer &answer) {
                            self.onInstances(answer, requestedAt);
                        });
    }

    void onInstances(const FetchedAnswer &answer, TimePoint requestedAt)
    {
        const TimePoint now = this->clock.now();
        auto instances = decodeInstances(answer.body);
        if (!answer.end.whole || answer.end.status != statusOk || !instances) {
            this->state->instances.failed(now, this->state->random);
            this->state->instancesFailures.failed(answer.end.status, failureDetail(answer));
            return;
        }
        this->state->instancesFailures.succeeded();
        this->state->instances.succeeded(now, instancesInterval);
        this->listener.onInstances(std::move(*instances), requestedAt);
    }

    HttpClient &client;
    const Clock &clock;
    std::string configUrl;
    std::string instancesUrl;
    PlatformListener &listener;
    std::shared_ptr<State> state;
};

} // namespace

std::unique_ptr<Platform> makeHttpPlatform(HttpClient &client, const Clock &clock,
                                           std::uint64_t seed, std::string configUrl,
                                           std::string instancesUrl, PlatformListener &listener)
{
    return std::make_unique<HttpPlatform>(client, clock, seed, std::move(configUrl),
                                          std::move(instancesUrl), listener);
}

} // namespace jaytrack
