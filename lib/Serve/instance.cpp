#include "jaytrack/Serve/instance.h"

#include "jaytrack/Cluster/pausedetector.h"
#include "jaytrack/Config/documentstore.h"
#include "jaytrack/Http/client.h"
#include "jaytrack/Limits/limitgate.h"
#include "jaytrack/Policy/baselines.h"
#include "jaytrack/Policy/fleetpolicy.h"
#include "jaytrack/Quarantine/crashwatch.h"
#include "jaytrack/Serve/enginewatcher.h"
#include "jaytrack/Serve/gateway.h"
#include "jaytrack/Serve/operatorhandler.h"
#include "jaytrack/Serve/peernode.h"
#include "jaytrack/Serve/platformreader.h"
#include "jaytrack/Serve/sharedplacementpolicy.h"
#include "jaytrack/Serve/targetmessages.h"
#include "jaytrack/Support/keyring.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"
#include "jaytrack/Wire/codec.h"

#include "peer_types.h"

#include <asio.hpp>

#include <algorithm>
#include <iterator>
#include <random>
#include <thread>

namespace jaytrack {

namespace {

constexpr std::chrono::milliseconds controlInterval{20};
constexpr int ticksPerSweep = 5;

// A graceful shutdown ends after this many consecutive sweeps without pending requests or unsent
// responses. This takes at least 0.2 s, in which delayed threads can read requests that have
// arrived.
constexpr int quietSweepsBeforeEnd = 3;

// Time to send the final responses after abortRequests(). A second stop signal asks for a quick
// end, and a caller that reads receives the few kilobytes of its response well within this time,
// even over a slow link.
constexpr std::chrono::seconds cutGrace{2};

std::int64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::vector<EngineSpec> engineSpecs(const Document &document)
{
    std::vector<EngineSpec> specs;
    specs.reserve(document.engines.size());
    for (const Engine &engine : document.engines)
        specs.push_back({engine.name, engine.model, engine.dataCentre, engine.slots,
                         engine.memoryTokens, engine.leaving});
    return specs;
}

} // namespace

struct Instance::Parts final : public PlatformListener,
                               public PolicyTransport,
                               public QuarantineTransport,
                               public LimitTransport,
                               public CrashWatchListener
{
    Parts(const Settings &instanceSettings, const Clock &time)
        : settings(instanceSettings)
        , clock(time)
        , keys(instanceSettings.peerKeys)
        , pauseDetector(time, instanceSettings.pauseLimit)
        , work(asio::make_work_guard(this->control))
        , timer(this->control)
        , targets(instanceSettings.targetThreads)
        , incarnation(newIncarnation())
        , deliveryDeadline(time.now() + instanceSettings.deliveryGrace)
        , placement([this](PlacementListener &listener) { return this->makePolicy(listener); },
                    [this](std::function<void()> step) {
                        asio::post(this->control, std::move(step));
                    })
        , peers(this->control, settings, time, keys, documents, targets, incarnation,
                this->peerEvents())
        , crashes(this->control, time, metrics, *this, *this)
        , limits(this->control, time, instanceSettings.name, instanceSettings.peerSeeds.size(),
                 std::random_device{}(), *this, metrics)
        , context{settings,      clock,      metrics,
                  keys,          targets,    placement,
                  pauseDetector, peers,      crashes,
                  limits,        documents,  [this] { return this->configMayBeStale.load(); },
                  settings.name, incarnation}
        , gateway(this->context, this->documents)
        , watcher(this->context, [this](std::string_view engine) { return this->isHome(engine); })
        , platform(makeHttpPlatform(this->targets, time, std::random_device{}(), settings.configUrl,
                                    settings.instancesUrl, *this))
    {
        this->documents.watch([this](const std::shared_ptr<const Document> &document) {
            asio::post(this->control, [this, document] { this->onDocumentApplied(*document); });
        });
    }

    std::unique_ptr<PlacementPolicy> makePolicy(PlacementListener &listener)
    {
        const std::uint64_t seed = std::random_device{}();
        if (this->settings.placement == "least_outstanding")
            return makeBaseline(Baseline::LeastOutstanding, this->clock, seed, listener);
        auto policy = std::make_unique<FleetPolicy>(this->settings.name, this->clock, seed, *this,
                                                    listener);
        this->fleetPolicy = policy.get();
        return policy;
    }

    PeerNodeEvents peerEvents()
    {
        PeerNodeEvents events;
        events.membersChanged = [this](const std::vector<std::string> &names) {
            this->placement.with([&names](PlacementPolicy &policy) { policy.setInstances(names); });
            this->others = names;
            std::erase(this->others, this->settings.name);
            this->limits.setInstances(this->others);
        };
        events.policyMessage = [this](const std::string &from, const std::string &message) {
            this->placement.with([&](PlacementPolicy &policy) { policy.receive(from, message); });
            this->receiveUpdates(from, message);
        };
        events.refreshed = [this](TimePoint requestedAt) {
            this->pauseDetector.refreshed(requestedAt);
        };
        return events;
    }

    // Called with the policy's lock held, so the control thread sends the message.
    void send(std::string_view to, std::string message) override
    {
        asio::post(this->control,
                   [this, to = std::string(to), message = std::move(message)]() mutable {
                       this->peers.sendPolicy(to, std::move(message));
                   });
    }

    // QuarantineTransport and CrashWatchListener, called on the control thread.

    void broadcastQuarantine(const QuarantineMessage &news) override
    {
        this->sendQuarantine(this->others, news);
    }

    void sendQuarantineToSample(const QuarantineMessage &news) override
    {
        this->sendQuarantine(this->sampleOthers(), news);
    }

    std::vector<std::string> sampleOthers()
    {
        std::vector<std::string> selected;
        std::sample(this->others.begin(), this->others.end(), std::back_inserter(selected),
                    gossipFanout, this->random);
        return selected;
    }

    void sendQuarantine(const std::vector<std::string> &names, const QuarantineMessage &news)
    {
        wire::PolicyMessage message;
        message.quarantine = toNotices(news);
        this->sendAll(names, message);
    }

    void sendAll(const std::vector<std::string> &names, const wire::PolicyMessage &message)
    {
        const std::string bytes = encodeMessage(message);
        for (const std::string &name : names)
            this->peers.sendPolicy(name, bytes);
    }

    // LimitTransport, called from any thread. The control thread sends the messages.

    void sendLimits(std::string_view instance, const LimitMessage &news) override
    {
        this->postLimits(news, [name = std::string(instance)] { return std::vector{name}; });
    }

    void broadcastLimits(const LimitMessage &news) override
    {
        this->postLimits(news, [this] { return this->others; });
    }

    void sendLimitsToSample(const LimitMessage &news) override
    {
        this->postLimits(news, [this] { return this->sampleOthers(); });
    }

    void postLimits(const LimitMessage &news,
                    std::function<std::vector<std::string>()> selectRecipients)
    {
        asio::post(this->control, [this, news, selectRecipients = std::move(selectRecipients)] {
            wire::PolicyMessage message;
            message.limits = toNotices(news);
            this->sendAll(selectRecipients(), message);
        });
    }

    void receiveUpdates(std::string_view from, std::string_view bytes)
    {
        const auto message = decodeMessage<wire::PolicyMessage>(bytes);
        if (!message)
            return;
        const QuarantineMessage news = fromNotices(message->quarantine);
        if (!news.isEmpty())
            this->crashes.onMessage(news);
        const LimitMessage limitNews = fromNotices(message->limits);
        if (!limitNews.isEmpty())
            this->limits.onMessage(from, limitNews);
    }

    void onRequestBarred(std::string_view digest) override { this->gateway.withdraw(digest); }

    // A baseline policy assigns no homes, so every instance polls every engine.
    bool isHome(std::string_view engine)
    {
        bool home = true;
        this->placement.with([&](PlacementPolicy &) {
            home = this->fleetPolicy == nullptr || this->fleetPolicy->isHomeOf(engine);
        });
        return home;
    }

    void onDocumentApplied(const Document &document)
    {
        this->placement.with(
                [&document](PlacementPolicy &policy) { policy.setEngines(engineSpecs(document)); });
        this->peers.onDocument(document.revision);
    }

    void onDocument(std::string bytes, std::uint64_t revision, TimePoint requestedAt) override
    {
        asio::post(this->control, [this, bytes = std::move(bytes), revision, requestedAt] {
            this->documents.offer(bytes, revision, "platform");
            this->onServiceAnswer(revision, requestedAt);
        });
    }

    void onUnchanged(TimePoint requestedAt) override
    {
        asio::post(this->control, [this, requestedAt] {
            this->onServiceAnswer(this->documents.revision(), requestedAt);
        });
    }

    void onServiceAnswer(std::uint64_t revision, TimePoint requestedAt)
    {
        this->peers.onServiceRevision(revision, requestedAt);
        // A replica of the configuration service with an older revision does not confirm that the
        // configuration here is current.
        if (revision >= this->documents.revision())
            this->pauseDetector.refreshed(requestedAt);
    }

    void onInstances(std::vector<ListedInstance> instances, TimePoint) override
    {
        asio::post(this->control, [this, addresses = peerAddresses(instances)] {
            this->peers.suggest(addresses);
        });
    }

    std::uint64_t revisionInForce() override { return this->documents.revision(); }

    void tick()
    {
        this->pauseDetector.tick();
        this->platform->tick();
        this->placement.with([](PlacementPolicy &policy) { policy.tick(); });
        if (++this->ticks % ticksPerSweep == 0)
            this->sweep();
        this->timer.expires_after(controlInterval);
        this->timer.async_wait([this](const asio::error_code &ec) {
            if (!ec)
                this->tick();
        });
    }

    void sweep()
    {
        this->peers.tick();
        this->crashes.tick();
        this->limits.tick();
        this->gateway.sweep();
        if (!this->gateway.isDraining() || !this->gateway.idle())
            this->deliveryDeadline.store(this->clock.now() + this->settings.deliveryGrace);
        this->updateQuietSweeps();
        if (const auto document = this->documents.current())
            this->watcher.tick(*document);
        this->configMayBeStale.store(this->peers.configMayBeStale());
        if (this->gateway.isReady() || this->gateway.isDraining() || !this->peers.mayServe())
            return;
        this->gateway.setReady(true);
        this->peers.goLive();
        logEvent(Severity::Info, "instance_ready", {{"name", this->settings.name}});
    }

    // A single check is not enough: after the process was suspended, requests may have arrived that
    // no thread has read yet. Ending after the first check would reset their connections without a
    // response.
    void updateQuietSweeps()
    {
        const bool quiet =
                this->gateway.isDraining() && this->gateway.idle() && this->unsentAnswers() == 0;
        this->quietSweeps.store(quiet ? this->quietSweeps.load() + 1 : 0);
    }

    std::size_t unsentAnswers() const
    {
        return this->callers->unsent() + (this->operators ? this->operators->unsent() : 0);
    }

    void drain()
    {
        this->gateway.drain();
        asio::post(this->control, [this] { this->peers.leave(); });
        logEvent(Severity::Info, "drain_began",
                 {{"in_service", static_cast<std::int64_t>(this->gateway.inService())}});
    }

    OperatorView operatorView()
    {
        return {this->settings.name,      this->gateway, this->peers,
                this->documents,          this->metrics, this->pauseDetector,
                [this] { this->drain(); }};
    }

    Settings settings;
    const Clock &clock;
    Metrics metrics;
    KeyRing keys;
    PauseDetector pauseDetector;
    DocumentStore documents;
    std::atomic<bool> configMayBeStale{false};
    FleetPolicy *fleetPolicy = nullptr; // owned by placement; null for a baseline policy
    asio::io_context control;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    asio::steady_timer timer;
    HttpClient targets;
    std::int64_t incarnation;
    std::atomic<TimePoint> deliveryDeadline; // for sending responses once all requests are answered
    std::atomic<int> quietSweeps{0};         // consecutive sweeps without pending work
    std::atomic<TimePoint> cutDeadline{
            TimePoint::max()}; // set by abortRequests(); drained() returns true after it
    SharedPlacementPolicy placement;
    PeerNode peers;
    std::vector<std::string> others; // names of the other live instances; control thread only
    std::mt19937_64 random{std::random_device{}()};
    CrashWatch crashes;
    LimitGate limits;
    ServeContext context;
    Gateway gateway;
    EngineWatcher watcher;
    std::unique_ptr<Platform> platform;
    std::unique_ptr<OperatorHandler> operatorHandler;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> operators;
    std::uint64_t ticks = 0;
    std::thread controlThread;
};

Instance::Instance(std::unique_ptr<Parts> made)
    : parts(std::move(made))
{
}

// Stops the servers first, so that no new requests arrive, and then the control thread, so that no
// callback runs while the parts are destroyed.
Instance::~Instance()
{
    if (this->parts->operators)
        this->parts->operators->stop();
    this->parts->callers->stop();
    if (this->parts->controlThread.joinable()) {
        this->parts->control.stop();
        this->parts->controlThread.join();
    }
    this->parts->targets.stop();
    this->parts->peers.depart();
}

Result<std::unique_ptr<Instance>> Instance::start(const Settings &settings, const Clock &clock)
{
    auto parts = std::make_unique<Parts>(settings, clock);
    HttpServerOptions callerOptions;
    callerOptions.address = settings.callers.address;
    callerOptions.port = settings.callers.port;
    callerOptions.threads = settings.callerThreads;
    callerOptions.maxBodyBytes = settings.maxBodyBytes;
    auto callers = startHttpServer(callerOptions, parts->gateway);
    if (!callers)
        return callers.error();
    parts->callers = std::move(callers.value());
    const Result<void> opened = parts->peers.open(settings.callers.address + ":" +
                                                  std::to_string(parts->callers->port()));
    if (!opened)
        return opened.error();
    if (!settings.operators.address.empty()) {
        HttpServerOptions operators;
        operators.address = settings.operators.address;
        operators.port = settings.operators.port;
        operators.threads = 1;
        parts->operatorHandler = std::make_unique<OperatorHandler>(parts->operatorView());
        auto started = startHttpServer(operators, *parts->operatorHandler);
        if (!started)
            return started.error();
        parts->operators = std::move(started.value());
    }
    Parts *running = parts.get();
    parts->controlThread = std::thread([running] {
        running->tick();
        running->control.run();
    });
    logEvent(Severity::Info, "instance_started",
             {{"name", settings.name},
              {"incarnation", parts->incarnation},
              {"callers_port", parts->callers->port()},
              {"peers_port", parts->peers.port()},
              {"operators_port", parts->operators ? parts->operators->port() : 0}});
    return std::unique_ptr<Instance>(new Instance(std::move(parts)));
}

void Instance::drain()
{
    this->parts->drain();
}

bool Instance::drained() const
{
    const TimePoint now = this->parts->clock.now();
    if (now > this->parts->cutDeadline.load())
        return true;
    if (!this->parts->gateway.isDraining() || !this->parts->gateway.idle())
        return false;
    // A request counts as answered once its response is queued on the connection. Ending at that
    // point would lose the part that a slow caller has not read yet.
    if (now > this->parts->deliveryDeadline.load())
        return true;
    return this->unsentAnswers() == 0 && this->parts->quietSweeps.load() >= quietSweepsBeforeEnd;
}

std::size_t Instance::unsentAnswers() const
{
    return this->parts->unsentAnswers();
}

void Instance::abortRequests()
{
    this->parts->cutDeadline.store(this->parts->clock.now() + cutGrace);
    this->parts->gateway.abortRequests();
}

bool Instance::isReady() const
{
    return this->parts->gateway.isReady();
}

std::uint16_t Instance::callerPort() const
{
    return this->parts->callers->port();
}

std::uint16_t Instance::peerPort() const
{
    return this->parts->peers.port();
}

std::uint16_t Instance::operatorPort() const
{
    return this->parts->operators ? this->parts->operators->port() : 0;
}

} // namespace jaytrack
