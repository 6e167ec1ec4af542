#include "jaytrack/Serve/platformreader.h"

#include "jaytrack/Config/document.h"
#include "jaytrack/Http/client.h"
#include "jaytrack/Stream/handle.h"
#include "jaytrack/Support/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jaytrack {

namespace {

// How long the service holds one watch open. Its end confirms that nothing is newer, so it must
// come well within the time after which an unconfirmed configuration makes this instance cautious.
constexpr std::chrono::seconds watchWait{5};
constexpr std::chrono::seconds answerMargin{5};
constexpr std::chrono::milliseconds firstPause{250};
constexpr std::chrono::seconds longestPause{4};
constexpr std::chrono::seconds instancesGap{10};
constexpr int notModified = 304;
constexpr int goodStatus = 200;

// The pacing of one repeated read.
class Pacing
{
public:
    bool due(TimePoint now) const { return !this->waiting && now >= this->nextAt; }
    void began() { this->waiting = true; }

    void succeeded(TimePoint now, Duration gap)
    {
        this->waiting = false;
        this->pause = firstPause;
        this->nextAt = now + gap;
    }

    void failed(TimePoint now, std::mt19937_64 &random)
    {
        this->waiting = false;
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        this->nextAt = now + std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(this->pause) * jitter(random));
        this->pause = std::min<Duration>(this->pause * 2, longestPause);
    }

private:
    bool waiting = false;
    TimePoint nextAt;
    Duration pause = firstPause;
};

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
            readDocument = this->state->document.due(now);
            if (readDocument)
                this->state->document.began();
            readInstances = !this->instancesUrl.empty() && this->state->instances.due(now);
            if (readInstances)
                this->state->instances.began();
        }
        if (readDocument)
            this->askDocument(now);
        if (readInstances)
            this->askInstances(now);
    }

private:
    // Outlives the reader for as long as an answer may still come.
    struct State
    {
        std::recursive_mutex mutex;
        HttpPlatform *owner = nullptr;
        std::mt19937_64 random;
        Pacing document;
        Pacing instances;
    };

    void ask(HttpCall call, std::function<void(HttpPlatform &, const FetchedAnswer &)> handler)
    {
        static constexpr std::size_t answerBound = 2 * maxDocumentBytes;
        call.mayRepeat = true;
        fetchLater(this->client, std::move(call), answerBound,
                   [kept = this->state, handler = std::move(handler)](const FetchedAnswer &answer) {
                       const std::lock_guard lock(kept->mutex);
                       if (kept->owner != nullptr)
                           handler(*kept->owner, answer);
                   });
    }

    void askDocument(TimePoint askedAt)
    {
        HttpCall call;
        const std::uint64_t known = this->listener.revisionInForce();
        call.url = this->configUrl;
        if (known != 0)
            call.url += "?after=" + std::to_string(known) +
                        "&wait_ms=" + std::to_string(std::chrono::milliseconds(watchWait).count());
        call.totalTimeout = watchWait + answerMargin;
        this->ask(std::move(call), [askedAt](HttpPlatform &self, const FetchedAnswer &answer) {
            self.onDocument(answer, askedAt);
        });
    }

    void onDocument(const FetchedAnswer &answer, TimePoint askedAt)
    {
        const TimePoint now = this->clock.now();
        const auto revision = parseIndex(findHeader(answer.headers, "Config-Revision"));
        const bool changed = answer.end.whole && answer.end.status == goodStatus && revision;
        const bool unchanged = answer.end.whole && answer.end.status == notModified;
        if (!changed && !unchanged) {
            this->state->document.failed(now, this->state->random);
            logEvent(Severity::Warning, "platform_read_failed",
                     {{"code", static_cast<int>(ResultCode::PlatformUnreachable)},
                      {"what", "document"},
                      {"status", answer.end.status},
                      {"detail", answer.end.error}});
            return;
        }
        if (unchanged) {
            this->state->document.succeeded(now, Duration(0));
            this->listener.onUnchanged(askedAt);
            return;
        }
        // A replica that is behind answers at once with what is already known; asking it again
        // without a pause would spend the fleet's reads on it.
        if (*revision <= this->listener.revisionInForce())
            this->state->document.failed(now, this->state->random);
        else
            this->state->document.succeeded(now, Duration(0));
        this->listener.onDocument(answer.body, *revision, askedAt);
    }

    void askInstances(TimePoint askedAt)
    {
        HttpCall call;
        call.url = this->instancesUrl;
        call.totalTimeout = answerMargin;
        this->ask(std::move(call), [askedAt](HttpPlatform &self, const FetchedAnswer &answer) {
            self.onInstances(answer, askedAt);
        });
    }

    void onInstances(const FetchedAnswer &answer, TimePoint askedAt)
    {
        const TimePoint now = this->clock.now();
        const auto list = nlohmann::json::parse(answer.body, nullptr, false);
        if (!answer.end.whole || answer.end.status != goodStatus || !list.is_array()) {
            this->state->instances.failed(now, this->state->random);
            return;
        }
        this->state->instances.succeeded(now, instancesGap);
        std::vector<ListedInstance> instances;
        for (const auto &entry : list) {
            if (!entry.is_object())
                continue;
            instances.push_back({entry.value("name", ""), entry.value("peer", ""),
                                 entry.value("leaving", false)});
        }
        this->listener.onInstances(std::move(instances), askedAt);
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
