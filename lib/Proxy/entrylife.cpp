// Lifecycle of an entry instance: signals, settings reload, ticks, and graceful shutdown.
#include "entryparts.h"

#include "jaytrack/Support/log.h"

#include <csignal>
#include <fstream>
#include <iterator>

namespace jaytrack {

namespace {

// Time for which a stopping instance still accepts connections. The load balancer checks readiness
// once a second and removes an instance after two failed checks.
constexpr std::chrono::milliseconds acceptTimeAfterStop{3000};

// Margin between the last answers and the end of the grace period, when the process is killed: two
// ticks, and a third in case one is delayed.
constexpr std::chrono::milliseconds exitMargin{300};

constexpr std::chrono::milliseconds tickInterval{100};
constexpr int ticksPerFileCheck = 10;

// Members are discovered and lost in batches; going through all engines for each batch would cost a
// small machine most of its processor time while a large fleet starts.
constexpr int ticksPerAssignmentCheck = 10;

std::string readWhole(const std::string &file)
{
    std::ifstream stream(file);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

} // namespace

TimePoint EntryInstance::Parts::forcedExitTime() const
{
    return this->stopBegan + this->settings.drainGrace - exitMargin;
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
            return this->exitNow();
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

// Answers all remaining requests one tick before the process exits. If the connections were just
// closed, callers could not tell whether their requests had run.
void EntryInstance::Parts::answerRemaining()
{
    this->remainingAnswered = true;
    const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
    for (const auto &exchange : served)
        exchange->onInstanceEnding();
}

void EntryInstance::Parts::exitNow()
{
    const CallerBacklog callerBacklog = this->callers.backlog();
    logEvent(Severity::Info, "instance_stopped",
             {{"name", this->settings.name},
              {"in_service", static_cast<std::int64_t>(this->open.size())},
              {"connections", static_cast<std::int64_t>(callerBacklog.connections)},
              {"unsent_bytes", static_cast<std::int64_t>(callerBacklog.unsentBytes)}});
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

// The delay of the tick is that of all that the event loop has to do.
void EntryInstance::Parts::recordLoopDelay()
{
    const TimePoint now = this->clock.now();
    if (this->tickDueAt != TimePoint())
        this->acceptGate.recordLoopDelay(std::max(Duration(0), now - this->tickDueAt));
    this->tickDueAt = now + tickInterval;
}

void EntryInstance::Parts::logClosedUnread()
{
    for (const auto &[reason, count] : this->closedUnread)
        logEvent(Severity::Warning, "connections_closed_unread",
                 {{"reason", reason},
                  {"count", static_cast<std::int64_t>(count)},
                  {"loop_delay_ms", toMillis(this->acceptGate.loopDelay())},
                  {"connections", static_cast<std::int64_t>(this->callers.backlog().connections)},
                  {"in_service", static_cast<std::int64_t>(this->open.size())}});
    this->closedUnread.clear();
}

void EntryInstance::Parts::tick()
{
    this->recordLoopDelay();
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const asio::error_code &failure) {
        if (!failure)
            this->tick();
    });
    ++this->ticks;
    if (!this->settingsFile.empty() && this->ticks % ticksPerFileCheck == 0)
        this->checkFile();
    if (this->ticks % ticksPerAssignmentCheck == 0) {
        this->updateProbedEngines();
        this->logClosedUnread();
        for (const std::string &service : this->streamVersions.mixedServices())
            this->recordListedVersions(service);
    }
    this->sharing.tick();
    this->crashes.tick();
    this->limitGate.tick();
    this->brittle.tick();
    this->retries.tick();
    this->streamVersions.tick();
    this->logReadiness();
    this->logOmittedListings();
    if (this->isStopping)
        this->continueStop();
}

// Answers may still be in the send buffers and requests in transit, so the process exits only once
// all callers' connections have closed. Otherwise the ends of answers would be lost. One iteration
// of the event loop passes between accepting the last connection and that decision.
void EntryInstance::Parts::continueStop()
{
    const TimePoint now = this->clock.now();
    if (now > this->forcedExitTime())
        return this->remainingAnswered ? this->exitNow() : this->answerRemaining();
    if (now - this->stopBegan <= acceptTimeAfterStop)
        return;
    if (this->callers.isListening())
        return this->callers.stopListening();
    this->callers.closeIdle();
    if (this->open.empty() && this->relays.isIdle() && this->runStops.isIdle() &&
        this->callers.backlog().connections == 0)
        this->exitNow();
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
