#include "jaytrack/Serve/enginewatcher.h"

#include "jaytrack/Http/client.h"
#include "jaytrack/Serve/sharedplacementpolicy.h"
#include "jaytrack/Serve/targetlimits.h"
#include "jaytrack/Serve/targetmessages.h"
#include "jaytrack/Support/log.h"

namespace jaytrack {

namespace {

constexpr std::chrono::milliseconds pollInterval{250};
constexpr std::chrono::milliseconds responseTimeout{1000};
constexpr Duration reportLag =
        std::chrono::milliseconds(300); // assumed age of the load figures that engines publish
constexpr int failuresBeforeUnreachable = 2;
constexpr std::size_t maxResponseBytes = 64U << 10U;
constexpr int statusOk = 200;

// Returns why an answer is no load report.
std::string_view failureDetail(const FetchedAnswer &answer)
{
    return answer.end.whole && answer.end.status == statusOk ? "the load report is malformed"
                                                             : std::string_view(answer.end.error);
}

} // namespace

struct EngineWatcher::State
{
    std::mutex mutex;
    bool ended = false;
    std::map<std::string, PollState, std::less<>> engines;
};

EngineWatcher::EngineWatcher(ServeContext &ctx, std::function<bool(std::string_view)> homePredicate)
    : context(ctx)
    , isHome(std::move(homePredicate))
    , state(std::make_shared<State>())
{
}

EngineWatcher::~EngineWatcher()
{
    const std::lock_guard lock(this->state->mutex);
    this->state->ended = true;
}

void EngineWatcher::tick(const Document &document)
{
    const TimePoint now = this->context.clock.now();
    for (const Engine &engine : document.engines) {
        {
            const std::lock_guard lock(this->state->mutex);
            PollState &pollState = this->state->engines[engine.name];
            if (pollState.pollInFlight || now < pollState.nextAt)
                continue;
            pollState.nextAt = now + this->context.limits.probeInterval(engine.name, pollInterval);
        }
        if (this->isHome(engine.name))
            this->pollIfPermitted(engine.name, engine.address);
    }
}

void EngineWatcher::pollIfPermitted(const std::string &name, const std::string &address)
{
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->engines[name].pollInFlight = true;
    }
    const auto onPermit = [this, sharedState = this->state, name, address](const Permit &permit) {
        {
            const std::lock_guard lock(sharedState->mutex);
            if (sharedState->ended)
                return;
            sharedState->engines[name].pollInFlight = permit.granted;
        }
        if (permit.granted)
            this->poll(name, address);
    };
    if (const auto permit = this->context.limits.request(name, onPermit))
        onPermit(*permit);
}

void EngineWatcher::poll(const std::string &engine, const std::string &address)
{
    HttpCall call;
    call.url = "http://" + address + "/load";
    call.totalTimeout = responseTimeout;
    call.mayRepeat = true;
    const TimePoint askedAt = this->context.clock.now();
    ServeContext *serveContext = &this->context;
    fetchLater(
            serveContext->targets, std::move(call), maxResponseBytes,
            [serveContext, sharedState = this->state, name = engine,
             askedAt](const FetchedAnswer &answer) {
                updateTargetLimit(serveContext->limits, name, {answer.end.status, answer.headers});
                const std::optional<EngineReport> decoded = decodeLoadReport(answer.body);
                const bool succeeded = answer.end.whole && answer.end.status == statusOk && decoded;
                EngineReport report = succeeded ? *decoded : EngineReport();
                if (succeeded)
                    report.takenAt = askedAt - reportLag;
                const std::lock_guard lock(sharedState->mutex);
                if (sharedState->ended)
                    return;
                PollState &pollState = sharedState->engines[name];
                pollState.pollInFlight = false;
                pollState.failures = succeeded ? 0 : pollState.failures + 1;
                // A single failed poll does not make the engine unreachable: it may be busy, or
                // the network may have lost the response.
                if (!succeeded && pollState.failures < failuresBeforeUnreachable)
                    return;
                if (pollState.failures == failuresBeforeUnreachable)
                    logEvent(Severity::Warning, "engine_unreachable",
                             {{"engine", name},
                              {"status", answer.end.status},
                              {"detail", failureDetail(answer)}});
                report.alive = succeeded;
                serveContext->placement.with(
                        [&name, &report](PlacementPolicy &policy) { policy.report(name, report); });
            });
}

} // namespace jaytrack
