#include "jaytrack/Serve/enginewatcher.h"

#include "jaytrack/Http/client.h"
#include "jaytrack/Serve/limitwords.h"
#include "jaytrack/Serve/placementdesk.h"
#include "jaytrack/Support/log.h"

#include <nlohmann/json.hpp>

namespace jaytrack {

namespace {

constexpr std::chrono::milliseconds askGap{250};
constexpr std::chrono::milliseconds answerWait{1000};
constexpr Duration assumedLag = std::chrono::milliseconds(300); // of what the engines publish
constexpr int failuresToDeath = 2;
constexpr std::size_t answerBound = 64U << 10U;
constexpr int goodStatus = 200;

} // namespace

struct EngineWatcher::State
{
    std::mutex mutex;
    bool ended = false;
    std::map<std::string, Watched, std::less<>> engines;
};

EngineWatcher::EngineWatcher(ServeContext &ctx, std::function<bool(std::string_view)> homeTest)
    : context(ctx)
    , isHome(std::move(homeTest))
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
            Watched &watched = this->state->engines[engine.name];
            if (watched.asking || now < watched.nextAt)
                continue;
            watched.nextAt = now + this->context.limits.probeInterval(engine.name, askGap);
        }
        if (this->isHome(engine.name))
            this->askIfPermitted(engine.name, engine.address);
    }
}

void EngineWatcher::askIfPermitted(const std::string &name, const std::string &address)
{
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->engines[name].asking = true;
    }
    const auto goOn = [this, kept = this->state, name, address](const Permit &permit) {
        {
            const std::lock_guard lock(kept->mutex);
            if (kept->ended)
                return;
            kept->engines[name].asking = permit.granted;
        }
        if (permit.granted)
            this->ask(name, address);
    };
    if (const auto permit = this->context.limits.request(name, goOn))
        goOn(*permit);
}

void EngineWatcher::ask(const std::string &engine, const std::string &address)
{
    HttpCall call;
    call.url = "http://" + address + "/load";
    call.totalTimeout = answerWait;
    call.mayRepeat = true;
    const TimePoint askedAt = this->context.clock.now();
    ServeContext *serve = &this->context;
    fetchLater(serve->targets, std::move(call), answerBound,
               [serve, kept = this->state, name = engine, askedAt](const FetchedAnswer &answer) {
                   hearTargetLimit(serve->limits, name, {answer.end.status, answer.headers});
                   EngineReport report;
                   const auto body = nlohmann::json::parse(answer.body, nullptr, false);
                   const bool good =
                           answer.end.whole && answer.end.status == goodStatus && body.is_object();
                   if (good) {
                       report.memoryUsed = body.value("memory_used", std::uint64_t{0});
                       report.running = body.value("running", 0U);
                       report.waiting = body.value("waiting", 0U);
                       report.leaving = body.value("leaving", false);
                       report.takenAt = askedAt - assumedLag;
                   }
                   const std::lock_guard lock(kept->mutex);
                   if (kept->ended)
                       return;
                   Watched &watched = kept->engines[name];
                   watched.asking = false;
                   watched.failures = good ? 0 : watched.failures + 1;
                   // One lost answer is no death; the engine may be busy and the link lossy.
                   if (!good && watched.failures < failuresToDeath)
                       return;
                   if (watched.failures == failuresToDeath)
                       logEvent(Severity::Warning, "engine_unreachable",
                                {{"engine", name}, {"detail", answer.end.error}});
                   report.alive = good;
                   serve->placement.with([&name, &report](PlacementPolicy &policy) {
                       policy.report(name, report);
                   });
               });
}

} // namespace jaytrack
