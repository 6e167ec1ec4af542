#include "jaytrack/Proxy/entryinstance.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Proxy/exchange.h"
#include "jaytrack/Proxy/loadprober.h"
#include "jaytrack/Proxy/peerlink.h"
#include "jaytrack/Proxy/storefeeds.h"
#include "jaytrack/Proxy/storesharing.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>

namespace jaytrack {

namespace {

// A key is refused this long before its bound ends, for a process that is held up between its
// decision and the request's leaving.
constexpr std::chrono::milliseconds keyMargin{500};

// How long a stopping instance goes on taking connections: the balancer asks once a second and
// takes an instance out after two refusals.
constexpr std::chrono::milliseconds takeConnectionsFor{3000};

// Between the last answers and the end of the grace, at which the process is killed: two ticks, and
// a third for one that is held up.
constexpr std::chrono::milliseconds endMargin{300};

constexpr std::chrono::milliseconds tickGap{100};
constexpr int ticksPerFileCheck = 10;

// The part of the instance's memory that requests being read may take together.
constexpr std::size_t memoryShareDivisor = 4;

constexpr int okStatus = 200;
constexpr int unavailableStatus = 503;
constexpr int notFoundStatus = 404;

std::string readWhole(const std::string &file)
{
    std::ifstream stream(file);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

ResultCode codeOfUnreadable(int status)
{
    switch (status) {
    case 408:
        return ResultCode::RequestTooSlow;
    case 413:
        return ResultCode::BodyTooLarge;
    case 431:
        return ResultCode::HeadTooLarge;
    case 503:
        return ResultCode::Overloaded;
    default:
        return ResultCode::BadRequest;
    }
}

} // namespace

struct EntryInstance::Parts final : public CallerHandler,
                                    public TargetDirectoryListener,
                                    public PeerLinkListener,
                                    public LoadSharing,
                                    public PlacementNotices,
                                    public LeavingNotices,
                                    public QuarantineSpread,
                                    public CrashWatchListener
{
    // Answers the balancer's question and the request for metrics; what callers may not reach.
    struct Desk final : public CallerHandler
    {
        explicit Desk(Parts &served)
            : parts(served)
        {
        }

        void onRequest(std::shared_ptr<CallerConnection> connection, CallerRequest request) override
        {
            if (request.head.path() == this->parts.dialect.readinessPath()) {
                connection->respond(this->parts.isReady() ? okStatus : unavailableStatus, {}, {});
                return;
            }
            if (request.head.path() == "/metrics") {
                connection->respond(okStatus, {}, this->parts.metrics.render());
                return;
            }
            connection->respond(notFoundStatus, {}, {});
        }

        void onUnreadable(int, std::string_view) override {}
        ConnectionLimits connectionLimits() const override { return {}; }
        bool stopping() const override { return false; }
        bool reserveMemory(std::size_t) override { return true; }
        void releaseMemory(std::size_t) override {}

        Parts &parts;
    };

    Parts(const EntrySettings &given, const Clock &time, const Dialect &words)
        : settings(given)
        , clock(time)
        , dialect(words)
        , desk(*this)
        , random(std::random_device{}())
        , directory(*this)
        , health(time, this->random())
        , engines(time, this->random(), given.dataCentre, given.tuning.engines)
        , shares(given.name)
        , retries(time, {given.retryRatio, given.retryWindow, given.retrySlack})
        , configuration(time, words)
        , targets(this->loop, time, words, this->metrics, this->directory)
        , feeds(this->configuration, this->targets)
        , sharing(time, given.name, given.tuning.sharing, this->random, this->configuration,
                  this->targets)
        , pauses(time)
        , selfReports(words, this->directory, this->pauses, *this)
        , prober(this->loop, time, words, this->engines, *this, this->selfReports, this->random,
                 given.tuning.probeGap)
        , crashes(this->loop, time, this->metrics, *this, *this)
        , context{this->loop,
                  time,
                  words,
                  this->metrics,
                  this->directory,
                  this->health,
                  this->engines,
                  this->shares,
                  this->retries,
                  this->random,
                  *this,
                  this->crashes,
                  this->selfReports,
                  this->pauses,
                  this->settings.tuning.streams,
                  this->open}
        , callers(this->loop, time, *this)
        , readiness(this->loop, time, this->desk)
        , metricsServer(this->loop, time, this->desk)
        , signals(this->loop)
        , timer(this->loop)
    {
        this->applyBounds();
    }

    void applyBounds()
    {
        this->bounds.keyFreshness = std::max<Duration>(this->settings.keyFreshness - keyMargin,
                                                       this->settings.keyFreshness / 2);
        this->bounds.denialFreshness = this->settings.configurationDelay;
    }

    Result<void> openListeners()
    {
        const auto listen = [](CallerServer &server, const std::string &address) -> Result<void> {
            const auto endpoint = parseEndpoint(address);
            if (!endpoint)
                return endpoint.error();
            return server.listen(endpoint.value());
        };
        Result<void> opened = listen(this->callers, this->settings.callers);
        if (opened)
            opened = listen(this->readiness, this->settings.readiness);
        if (opened && !this->settings.metrics.empty())
            opened = listen(this->metricsServer, this->settings.metrics);
        return opened;
    }

    Result<void> joinPeers()
    {
        if (this->settings.peers.empty())
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        PeerLinkSettings link;
        link.name = this->settings.name;
        link.dataCentre = this->settings.dataCentre;
        link.listen = this->settings.peers;
        link.seeds = this->settings.peerSeeds;
        link.keys = this->settings.peerKeys;
        this->peers = std::make_unique<PeerLink>(this->loop, this->clock, std::move(link),
                                                 this->random(), this->shares, *this);
        return this->peers->open();
    }

    Result<void> followStore()
    {
        const auto store = parseEndpoint(this->settings.store);
        if (!store)
            return store.error();
        StoreFollowerOptions everything;
        everything.store = store.value();
        everything.gap = this->settings.tuning.storeGap;
        this->follower =
                std::make_shared<StoreFollower>(this->loop, this->clock, this->dialect, everything,
                                                this->random(), this->feeds, this->sharing);
        if (this->peers)
            this->sharing.attach(*this->peers, this->follower);
        this->follower->start();
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    bool isReady() const
    {
        return !this->isStopping && this->configuration.table() && this->targets.isLoaded() &&
               this->configuration.age() <= this->bounds.keyFreshness;
    }

    // CallerHandler

    void onRequest(std::shared_ptr<CallerConnection> connection, CallerRequest request) override
    {
        AdmittedRequest admitted;
        admitted.table = this->configuration.table();
        admitted.facts = this->dialect.describe(request.head.headers);
        admitted.request = std::move(request);
        const MessageHead &head = admitted.request.head;
        AdmissionInputs inputs;
        inputs.table = admitted.table.get();
        inputs.age = this->configuration.age();
        if (this->isStopping)
            inputs.endsIn = this->forcedEnd() - this->clock.now();
        inputs.host = head.header("Host");
        inputs.path = head.path();
        inputs.facts = &admitted.facts;
        admitted.admission = admit(inputs, this->bounds);
        if (admitted.admission.code == ResultCode::Ok && this->isBarred(admitted))
            admitted.admission.code = ResultCode::RequestBarred;
        if (admitted.admission.code != ResultCode::Ok)
            return this->refuse(*connection, admitted, inputs);
        const bool stream = isStream(admitted.admission.route->kind);
        const auto exchange = stream ? makeStreamExchange(this->context, std::move(connection),
                                                          std::move(admitted))
                                     : makePlainExchange(this->context, std::move(connection),
                                                         std::move(admitted));
        exchange->start();
    }

    bool isBarred(const AdmittedRequest &request) const
    {
        return !this->crashes.isIdle() && this->crashes.isBarred(digestOf(request));
    }

    std::chrono::milliseconds delayToReturn(const AdmittedRequest &refused)
    {
        const ResultCode code = refused.admission.code;
        if (code == ResultCode::RequestBarred)
            return std::chrono::duration_cast<std::chrono::milliseconds>(
                    this->crashes.barredFor(digestOf(refused)));
        return comeBackDelay(code, refused.admission.route,
                             this->settings.tuning.streams.partOfObjectiveToReturn, this->random);
    }

    void refuse(CallerConnection &connection, const AdmittedRequest &admitted,
                const AdmissionInputs &inputs)
    {
        const ResultCode code = admitted.admission.code;
        const ResultCodeInfo &info = describe(code);
        std::vector<HttpHeader> headers;
        headers.push_back({"Jaytrack-Outcome", std::string(outcomeName(info.outcome))});
        if (info.httpStatus == unavailableStatus) {
            headers.push_back(this->dialect.comeBackIn(this->delayToReturn(admitted)));
        }
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(inputs.age);
        logEvent(Severity::Info, "request_refused",
                 {{"id", admitted.facts.attemptId},
                  {"code", static_cast<std::int64_t>(info.code)},
                  {"result", info.name},
                  {"status", info.httpStatus},
                  {"host", inputs.host},
                  {"path", inputs.path},
                  {"config",
                   admitted.table ? static_cast<std::int64_t>(admitted.table->version) : 0},
                  {"config_age_ms", static_cast<std::int64_t>(admitted.table ? age.count() : -1)}});
        this->metrics.count("jaytrack_refused_total{result=\"" + std::string(info.name) + "\"}");
        connection.respond(info.httpStatus, headers, {});
    }

    void onUnreadable(int status, std::string_view reason) override
    {
        logEvent(Severity::Info, "request_unreadable",
                 {{"code", static_cast<std::int64_t>(codeOfUnreadable(status))},
                  {"status", status},
                  {"reason", reason}});
        this->metrics.count("jaytrack_unreadable_total{reason=\"" + std::string(reason) + "\"}");
    }

    ConnectionLimits connectionLimits() const override
    {
        const auto table = this->configuration.table();
        if (!table)
            return {};
        const CallerLimits &limits = table->limits;
        return {limits.headerBytes, limits.bodyBytes, limits.headerTimeout, limits.idleTimeout};
    }

    bool stopping() const override { return this->isStopping; }

    bool reserveMemory(std::size_t bytes) override
    {
        if (this->reserved + bytes > this->settings.memoryBytes / memoryShareDivisor)
            return false;
        this->reserved += bytes;
        return true;
    }

    void releaseMemory(std::size_t bytes) override
    {
        this->reserved -= std::min(bytes, this->reserved);
    }

    // TargetDirectoryListener

    void onTargetListed(const TargetEntry &entry) override
    {
        logEvent(Severity::Info, "target_listed",
                 {{"target", entry.id},
                  {"service", entry.service},
                  {"address", entry.address},
                  {"data_centre", entry.dataCentre}});
        this->engines.listed(entry);
        const auto table = this->configuration.table();
        const ServiceRule *service = table ? table->serviceNamed(entry.service) : nullptr;
        if (service == nullptr || !service->engine)
            return;
        this->shares.listed(entry.id);
        this->prober.add(entry);
    }

    void onTargetLeaving(const TargetEntry &entry, std::string_view reason) override
    {
        logEvent(Severity::Info, "target_leaving",
                 {{"target", entry.id}, {"service", entry.service}, {"reason", reason}});
        this->engines.gone(entry.id);
        this->shares.gone(entry.id);
        this->health.forget(entry.id);
        this->prober.remove(entry.id);
        const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
        for (const auto &exchange : served)
            exchange->onTargetLeaving(entry, reason);
    }

    void onTargetRestarted(const TargetEntry &ended) override
    {
        logEvent(Severity::Warning, "target_restarted",
                 {{"target", ended.id},
                  {"service", ended.service},
                  {"address", ended.address},
                  {"leaving", ended.leaving ? 1 : 0}});
        this->metrics.count("jaytrack_targets_restarted_total");
        this->engines.forget(ended.id);
        this->shares.gone(ended.id);
        this->health.forget(ended.id);
        this->prober.remove(ended.id);
        const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
        for (const auto &exchange : served)
            exchange->onTargetRestarted(ended);
    }

    // PeerLinkListener

    void onPlacedByPeer(std::string_view engine, const GenerationNeed &need, bool copied) override
    {
        this->engines.placedByOthers(engine, need, copied);
    }

    void onReleasedByPeer(std::string_view engine, std::uint32_t tokens) override
    {
        this->engines.releasedByOthers(engine, tokens);
    }

    void onFailedForPeer(std::string_view engine, std::string_view peer) override
    {
        this->engines.failedForOther(engine, peer);
    }

    void onLoadFromPeer(std::string_view engine, const EngineLoad &load) override
    {
        this->engines.reported(engine, load);
        if (load.leaving)
            this->directory.markLeaving(engine, "reported_to_peer");
    }

    void onStoreFromPeer(const SharedChanges &changes) override
    {
        this->sharing.onStoreFromPeer(changes);
    }

    void onFreshnessAsked(std::string_view peer, std::int64_t askedAt) override
    {
        this->sharing.onFreshnessAsked(peer, askedAt);
    }

    void onFreshness(std::string_view peer, std::int64_t askedAt, Duration age, std::uint64_t era,
                     std::uint64_t revision) override
    {
        this->sharing.onFreshness(peer, askedAt, age, era, revision);
    }

    void onLeavingFromPeer(std::string_view target) override
    {
        this->directory.markLeaving(target, "told_to_peer");
    }

    void onQuarantineNews(const QuarantineNews &news) override { this->crashes.onNews(news); }

    void onPeersChanged(const std::vector<std::string> &names) override
    {
        this->sharing.onPeersChanged(names);
        this->retries.setInstances(names.size() + 1);
    }

    // PlacementNotices

    void announcePlaced(std::string_view engine, const GenerationNeed &need, bool copied) override
    {
        if (this->peers)
            this->peers->announce(engine, need, copied);
    }

    void announceReleased(std::string_view engine, std::uint32_t tokens) override
    {
        if (this->peers)
            this->peers->announceReleased(engine, tokens);
    }

    void announceFailed(std::string_view engine) override
    {
        if (this->peers)
            this->peers->announceFailed(engine);
    }

    // LeavingNotices

    void announceLeaving(std::string_view target) override
    {
        if (this->peers)
            this->peers->announceLeaving(target);
    }

    // QuarantineSpread

    void tellAll(const QuarantineNews &news) override
    {
        if (this->peers)
            this->peers->tellAll(news);
    }

    void tellSome(const QuarantineNews &news) override
    {
        if (this->peers)
            this->peers->tellSome(news);
    }

    // CrashWatchListener

    void onRequestBarred(std::string_view digest) override
    {
        const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
        for (const auto &exchange : served)
            exchange->onRequestBarred(digest);
    }

    // LoadSharing

    bool isMineToAsk(std::string_view engine) const override
    {
        return this->shares.isMineToAsk(engine);
    }

    bool isMine(std::string_view engine) const override { return this->shares.isMine(engine); }

    void onNoLoad(std::string_view engine) override
    {
        this->engines.failed(engine);
        this->announceFailed(engine);
    }

    void onLoad(std::string_view engine, const EngineLoad &load) override
    {
        if (load.startedAt != untoldStart)
            this->directory.hearStart(engine, load.startedAt);
        // A report of another life says nothing of the one that was asked.
        const TargetEntry *listed = this->directory.find(engine);
        const bool other = listed == nullptr ||
                           (load.startedAt != untoldStart && listed->startedAt != untoldStart &&
                            load.startedAt != listed->startedAt);
        if (other)
            return;
        this->engines.reported(engine, load);
        if (this->peers)
            this->peers->announce(engine, load);
        if (load.leaving)
            this->directory.markLeaving(engine, "reported");
    }

    // Life of the process

    void waitForSignal()
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

    void beginStop()
    {
        this->isStopping = true;
        this->stopBegan = this->clock.now();
        this->logStopOrder("instance_stopping");
    }

    void logStopOrder(std::string_view event) const
    {
        logEvent(Severity::Info, event,
                 {{"name", this->settings.name},
                  {"in_service", static_cast<std::int64_t>(this->open.size())}});
    }

    TimePoint forcedEnd() const { return this->stopBegan + this->settings.drainGrace - endMargin; }

    // Whoever still waits is told, by the tick before the process ends: a connection that just
    // closes leaves its caller to guess.
    void answerRest()
    {
        this->restAnswered = true;
        const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
        for (const auto &exchange : served)
            exchange->onInstanceEnding();
    }

    void endNow()
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

    void reload(std::string_view cause)
    {
        Problems problems;
        const EntrySettings fresh = readEntrySettings(this->settingsFile, problems);
        for (const Problem &problem : problems)
            logEvent(Severity::Error, "settings_rejected",
                     {{"code", static_cast<std::int64_t>(problem.code)},
                      {"detail", problem.text()}});
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

    void checkFile()
    {
        std::string text = readWhole(this->settingsFile);
        if (text.empty() || text == this->settingsText)
            return;
        this->settingsText = std::move(text);
        this->reload("file_changed");
    }

    void tick()
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
        this->logReadiness();
        if (this->isStopping)
            this->goOnStopping();
    }

    // An answer that was given may still be on its way out, and a request on its way in: the
    // process ends once its callers' connections have, or their ends would be lost. One round of
    // the event loop passes between the last connection taken and that decision.
    void goOnStopping()
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

    void logReadiness()
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

    EntrySettings settings;
    const Clock &clock;
    const Dialect &dialect;
    Desk desk; // outlives the loop, whose open connections hand back their memory to it
    asio::io_context loop{1};
    Metrics metrics;
    std::mt19937_64 random;
    TargetDirectory directory;
    TargetHealth health;
    EngineChoice engines;
    EngineShares shares;
    RetryBudget retries;
    ConfigurationFeed configuration;
    TargetFeed targets;
    StoreFeeds feeds;
    StoreSharing sharing;
    TargetPauses pauses;
    SelfReports selfReports;
    LoadProber prober;
    CrashWatch crashes;
    std::set<std::shared_ptr<Exchange>> open;
    ExchangeContext context;
    AdmissionBounds bounds;
    CallerServer callers;
    CallerServer readiness;
    CallerServer metricsServer;
    asio::signal_set signals;
    asio::steady_timer timer;
    std::unique_ptr<PeerLink> peers; // null if the settings name no address for it
    std::shared_ptr<StoreFollower> follower;
    std::string settingsFile;
    std::string settingsText;
    std::size_t reserved = 0;
    int ticks = 0;
    bool isStopping = false;
    bool restAnswered = false;
    bool wasReady = false;
    TimePoint stopBegan;
};

EntryInstance::EntryInstance(const EntrySettings &settings, const Clock &clock,
                             const Dialect &dialect)
    : parts(std::make_unique<Parts>(settings, clock, dialect))
{
}

EntryInstance::~EntryInstance()
{
    // What is open holds references to the parts, so it goes first.
    const auto open = this->parts->open;
    this->parts->open.clear();
}

Result<void> EntryInstance::open()
{
    Result<void> opened = this->parts->openListeners();
    if (opened)
        opened = this->parts->joinPeers();
    if (opened)
        opened = this->parts->followStore();
    return opened;
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

std::uint16_t EntryInstance::callerPort() const
{
    return this->parts->callers.port();
}

std::uint16_t EntryInstance::readinessPort() const
{
    return this->parts->readiness.port();
}

void EntryInstance::stopNow()
{
    this->parts->loop.stop();
}

} // namespace jaytrack
