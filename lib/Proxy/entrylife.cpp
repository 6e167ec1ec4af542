// How an entry instance runs: its signals, its settings, its ticks, and its end.
#include "entryparts.h"

#include "jaytrack/Support/log.h"

#include <csignal>
#include <fstream>
#include <iterator>

namespace jaytrack {

namespace {

// How long a stopping instance goes on taking connections: the balancer asks once a second and
// takes an instance out after two refusals.
constexpr std::chrono::milliseconds takeConnectionsFor{3000};

// Between the last answers and the end of the grace, at which the process is killed: two ticks, and
// a third for one that is held up.
constexpr std::chrono::milliseconds endMargin{300};

constexpr std::chrono::milliseconds tickGap{100};
constexpr int ticksPerFileCheck = 10;

std::string readWhole(const std::string &file)
{
    std::ifstream stream(file);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

} // namespace

TimePoint EntryInstance::Parts::forcedEnd() const
{
    return this->stopBegan + this->settings.drainGrace - endMargin;
}

void EntryInstance::Parts::waitForSignal()
{
    this->signals.async_wait([this](const asio::error_code &failure, int signal) {
        if (failure)
            return;
        if (signal == SIGHUP)
            this->reload("sighup");
        else if (!this->isStopping)
            this->beginStop();
        else if (signal == SIGINT)
            return this->endNow();
        else
            this->logStopOrder("instance_stop_repeated");
        this->waitForSignal();
    });
}

void EntryInstance::Parts::beginStop()
{
    this->isStopping = true;
    this->stopBegan = this->clock.now();
    this->logStopOrder("instance_stopping");
    this->startup.release();
}

void EntryInstance::Parts::logStopOrder(std::string_view event) const
{
    logEvent(Severity::Info, event,
             {{"name", this->settings.name},
              {"in_service", static_cast<std::int64_t>(this->open.size())}});
}

// Whoever still waits is told, by the tick before the process ends: a connection that just
// closes leaves its caller to guess.
void EntryInstance::Parts::answerRest()
{
    this->restAnswered = true;
    const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
    for (const auto &exchange : served)
        exchange->onInstanceEnding();
}

void EntryInstance::Parts::endNow()
{
    const CallerBacklog owed = this->callers.backlog();
    logEvent(Severity::Info, "instance_stopped",
             {{"name", this->settings.name},
              {"in_service", static_cast<std::int64_t>(this->open.size())},
              {"connections", static_cast<std::int64_t>(owed.connections)},
              {"unsent_bytes", static_cast<std::int64_t>(owed.unsentBytes)}});
    if (this->peers)
        this->peers->depart();
    this->loop.stop();
}

void EntryInstance::Parts::reload(std::string_view cause)
{
    Problems problems;
    const EntrySettings fresh = readEntrySettings(this->settingsFile, problems);
    for (const Problem &problem : problems)
        logEvent(Severity::Error, "settings_rejected",
                 {{"code", static_cast<std::int64_t>(problem.code)}, {"detail", problem.text()}});
    if (!problems.empty())
        return;
    const bool moved = fresh.callers != this->settings.callers ||
                       fresh.readiness != this->settings.readiness ||
                       fresh.store != this->settings.store;
    this->settings.keyFreshness = fresh.keyFreshness;
    this->settings.configurationDelay = fresh.configurationDelay;
    this->settings.drainGrace = fresh.drainGrace;
    this->applyBounds();
    logEvent(moved ? Severity::Warning : Severity::Info, "settings_reloaded",
             {{"cause", cause}, {"addresses", moved ? "changed_need_restart" : "unchanged"}});
}

void EntryInstance::Parts::checkFile()
{
    std::string text = readWhole(this->settingsFile);
    if (text.empty() || text == this->settingsText)
        return;
    this->settingsText = std::move(text);
    this->reload("file_changed");
}

void EntryInstance::Parts::tick()
{
    this->timer.expires_after(tickGap);
    this->timer.async_wait([this](const asio::error_code &failure) {
        if (!failure)
            this->tick();
    });
    if (!this->settingsFile.empty() && ++this->ticks % ticksPerFileCheck == 0)
        this->checkFile();
    this->sharing.tick();
    this->crashes.tick();
    this->limitGate.tick();
    this->logReadiness();
    this->logListingsLeftOut();
    if (this->isStopping)
        this->goOnStopping();
}

// An answer that was given may still be on its way out, and a request on its way in: the
// process ends once its callers' connections have, or their ends would be lost. One round of
// the event loop passes between the last connection taken and that decision.
void EntryInstance::Parts::goOnStopping()
{
    const TimePoint now = this->clock.now();
    if (now > this->forcedEnd())
        return this->restAnswered ? this->endNow() : this->answerRest();
    if (now - this->stopBegan <= takeConnectionsFor)
        return;
    if (this->callers.isListening())
        return this->callers.stopListening();
    this->callers.closeIdle();
    if (this->open.empty() && this->callers.backlog().connections == 0)
        this->endNow();
}

void EntryInstance::Parts::logReadiness()
{
    const bool ready = this->isReady();
    if (ready == this->wasReady)
        return;
    this->wasReady = ready;
    const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->configuration.age());
    logEvent(Severity::Info, ready ? "instance_ready" : "instance_not_ready",
             {{"name", this->settings.name},
              {"config_age_ms", static_cast<std::int64_t>(age.count())},
              {"targets", static_cast<std::int64_t>(this->directory.size())}});
}

void EntryInstance::run(const std::string &settingsFile)
{
    Parts &running = *this->parts;
    running.settingsFile = settingsFile;
    running.settingsText = settingsFile.empty() ? std::string() : readWhole(settingsFile);
    if (!settingsFile.empty()) {
        running.signals.add(SIGTERM);
        running.signals.add(SIGINT);
        running.signals.add(SIGHUP);
        running.waitForSignal();
    }
    logEvent(Severity::Info, "instance_started",
             {{"name", running.settings.name},
              {"data_centre", running.settings.dataCentre},
              {"callers", running.settings.callers}});
    running.tick();
    running.loop.run();
}

} // namespace jaytrack
