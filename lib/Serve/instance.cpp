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
#include "jaytrack/Serve/operatordesk.h"
#include "jaytrack/Serve/peernode.h"
#include "jaytrack/Serve/placementdesk.h"
#include "jaytrack/Serve/platformreader.h"
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

constexpr std::chrono::milliseconds controlTick{20};
constexpr int ticksPerSweep = 5;

// So many sweeps in a row find nothing owed before a graceful shutdown ends: 0.2 s or more, in
// which threads that were held up come to what has arrived.
constexpr int quietSweepsToEnd = 3;

// Whoever stops an instance twice wants it gone. A caller that reads takes the few kilobytes that
// wait for it well within this, also behind a slow link.
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
                               public QuarantineSpread,
                               public LimitSpread,
                               public CrashWatchListener
{
    Parts(const Settings &given, const Clock &time)
        : settings(given)
        , clock(time)
        , keys(given.peerKeys)
        , wakefulness(time, given.pauseLimit)
        , work(asio::make_work_guard(this->control))
        , timer(this->control)
        , targets(given.targetThreads)
        , incarnation(newIncarnation())
        , deliverBy(time.now() + given.deliveryGrace)
        , placement([this](PlacementListener &listener) { return this->makePolicy(listener); },
                    [this](std::function<void()> step) {
                        asio::post(this->control, std::move(step));
                    })
        , peers(this->control, settings, time, keys, documents, targets, incarnation,
                this->peerEvents())
        , crashes(this->control, time, metrics, *this, *this)
        , limits(this->control, time, given.name, given.peerSeeds.size(), std::random_device{}(),
                 *this, metrics)
        , context{settings,
                  clock,
                  metrics,
                  keys,
                  targets,
                  placement,
                  wakefulness,
                  peers,
                  crashes,
                  limits,
                  [this] { return this->cautious.load(); },
                  settings.name,
                  incarnation}
        , gateway(this->context, this->documents)
        , watcher(this->context, [this](std::string_view engine) { return this->isHome(engine); })
        , platform(makeHttpPlatform(this->targets, time, std::random_device{}(), settings.configUrl,
                                    settings.instancesUrl, *this))
    {
        this->documents.watch([this](const std::shared_ptr<const Document> &document) {
            asio::post(this->control, [this, document] { this->onInForce(*document); });
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
            this->readNews(from, message);
        };
        events.refreshed = [this](TimePoint askedAt) { this->wakefulness.refreshed(askedAt); };
        return events;
    }

    // Called under the policy's lock, so it leaves the sending to the control thread.
    void send(std::string_view to, std::string message) override
    {
        asio::post(this->control,
                   [this, to = std::string(to), message = std::move(message)]() mutable {
                       this->peers.sendPolicy(to, std::move(message));
                   });
    }

    // QuarantineSpread and CrashWatchListener, on the control thread.

    void tellAll(const QuarantineNews &news) override { this->tell(this->others, news); }

    void tellSome(const QuarantineNews &news) override { this->tell(this->drawnOthers(), news); }

    std::vector<std::string> drawnOthers()
    {
        std::vector<std::string> drawn;
        std::sample(this->others.begin(), this->others.end(), std::back_inserter(drawn), drawnPeers,
                    this->random);
        return drawn;
    }

    void tell(const std::vector<std::string> &names, const QuarantineNews &news)
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

    // LimitSpread, from any thread: the control thread sends.

    void tellLimits(std::string_view instance, const LimitNews &news) override
    {
        this->postLimits(news, [name = std::string(instance)] { return std::vector{name}; });
    }

    void tellAllLimits(const LimitNews &news) override
    {
        this->postLimits(news, [this] { return this->others; });
    }

    void tellSomeLimits(const LimitNews &news) override
    {
        this->postLimits(news, [this] { return this->drawnOthers(); });
    }

    void postLimits(const LimitNews &news, std::function<std::vector<std::string>()> whom)
    {
        asio::post(this->control, [this, news, whom = std::move(whom)] {
            wire::PolicyMessage message;
            message.limits = toNotices(news);
            this->sendAll(whom(), message);
        });
    }

    void readNews(std::string_view from, std::string_view bytes)
    {
        const auto message = decodeMessage<wire::PolicyMessage>(bytes);
        if (!message)
            return;
        const QuarantineNews news = toNews(message->quarantine);
        if (!news.isEmpty())
            this->crashes.onNews(news);
        const LimitNews limitNews = toNews(message->limits);
        if (!limitNews.isEmpty())
            this->limits.onNews(from, limitNews);
    }

    void onRequestBarred(std::string_view digest) override { this->gateway.withdraw(digest); }

    // A baseline has no homes; every instance then asks every engine.
    bool isHome(std::string_view engine)
    {
        bool home = true;
        this->placement.with([&](PlacementPolicy &) {
            home = this->fleetPolicy == nullptr || this->fleetPolicy->isHomeOf(engine);
        });
        return home;
    }

    void onInForce(const Document &document)
    {
        this->placement.with(
                [&document](PlacementPolicy &policy) { policy.setEngines(engineSpecs(document)); });
        this->peers.onDocument(document.revision);
    }

    void onDocument(std::string bytes, std::uint64_t revision, TimePoint askedAt) override
    {
        asio::post(this->control, [this, bytes = std::move(bytes), revision, askedAt] {
            this->documents.offer(bytes, revision, "platform");
            this->onServiceAnswer(revision, askedAt);
        });
    }

    void onUnchanged(TimePoint askedAt) override
    {
        asio::post(this->control,
                   [this, askedAt] { this->onServiceAnswer(this->documents.revision(), askedAt); });
    }

    void onServiceAnswer(std::uint64_t revision, TimePoint askedAt)
    {
        this->peers.onServiceRevision(revision, askedAt);
        // A replica that is behind what is in force here knows nothing fresh.
        if (revision >= this->documents.revision())
            this->wakefulness.refreshed(askedAt);
    }

    void onInstances(std::vector<ListedInstance> instances, TimePoint) override
    {
        std::vector<std::string> addresses;
        for (const ListedInstance &instance : instances) {
            if (!instance.leaving)
                addresses.push_back(instance.peerAddress);
        }
        asio::post(this->control,
                   [this, addresses = std::move(addresses)] { this->peers.suggest(addresses); });
    }

    std::uint64_t revisionInForce() override { return this->documents.revision(); }

    void tick()
    {
        this->wakefulness.tick();
        this->platform->tick();
        this->placement.with([](PlacementPolicy &policy) { policy.tick(); });
        if (++this->ticks % ticksPerSweep == 0)
            this->sweep();
        this->timer.expires_after(controlTick);
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
            this->deliverBy.store(this->clock.now() + this->settings.deliveryGrace);
        this->noteQuiet();
        if (const auto document = this->documents.current())
            this->watcher.tick(*document);
        this->cautious.store(this->peers.cautious());
        if (this->gateway.isReady() || this->gateway.isDraining() || !this->peers.mayServe())
            return;
        this->gateway.setReady(true);
        this->peers.goLive();
        logEvent(Severity::Info, "instance_ready", {{"name", this->settings.name}});
    }

    // One look is not enough: a process that was held up has requests that came meanwhile and that
    // no thread has read. Ending on the first look would reset them without an answer.
    void noteQuiet()
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
                this->documents,          this->metrics, this->wakefulness,
                [this] { this->drain(); }};
    }

    Settings settings;
    const Clock &clock;
    Metrics metrics;
    KeyRing keys;
    PauseDetector wakefulness;
    DocumentStore documents;
    std::atomic<bool> cautious{false};
    FleetPolicy *fleetPolicy = nullptr; // owned by placement; null if a baseline is chosen
    asio::io_context control;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    asio::steady_timer timer;
    HttpClient targets;
    std::int64_t incarnation;
    std::atomic<TimePoint> deliverBy; // once all requests are answered, their answers leave by this
    std::atomic<int> quietSweeps{0};  // in a row, since the graceful shutdown began
    std::atomic<TimePoint> cutBy{TimePoint::max()}; // set by a cut: what is not done then never is
    PlacementDesk placement;
    PeerNode peers;
    std::vector<std::string> others; // names of the other live instances; for the control thread
    std::mt19937_64 random{std::random_device{}()};
    CrashWatch crashes;
    LimitGate limits;
    ServeContext context;
    Gateway gateway;
    EngineWatcher watcher;
    std::unique_ptr<Platform> platform;
    std::unique_ptr<OperatorDesk> operatorDesk;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> operators;
    std::uint64_t ticks = 0;
    std::thread controlThread;
};

Instance::Instance(std::unique_ptr<Parts> made)
    : parts(std::move(made))
{
}

// Servers first, so that nothing new comes in; then the control thread, so that nothing runs when
// the parts go.
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
    HttpServerOptions listen;
    listen.address = settings.callers.address;
    listen.port = settings.callers.port;
    listen.threads = settings.callerThreads;
    listen.maxBodyBytes = settings.maxBodyBytes;
    auto callers = startHttpServer(listen, parts->gateway);
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
        parts->operatorDesk = std::make_unique<OperatorDesk>(parts->operatorView());
        auto started = startHttpServer(operators, *parts->operatorDesk);
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
    if (now > this->parts->cutBy.load())
        return true;
    if (!this->parts->gateway.isDraining() || !this->parts->gateway.idle())
        return false;
    // A request counts as answered once its answer is handed to the connection. Ending then would
    // lose what a slow caller has not taken yet.
    if (now > this->parts->deliverBy.load())
        return true;
    return this->unsentAnswers() == 0 && this->parts->quietSweeps.load() >= quietSweepsToEnd;
}

std::size_t Instance::unsentAnswers() const
{
    return this->parts->unsentAnswers();
}

void Instance::cut()
{
    this->parts->cutBy.store(this->parts->clock.now() + cutGrace);
    this->parts->gateway.cut();
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
