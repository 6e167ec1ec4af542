#include "jaytrack/Serve/instance.h"

#include "jaytrack/Cluster/wakefulness.h"
#include "jaytrack/Config/documentstore.h"
#include "jaytrack/Http/client.h"
#include "jaytrack/Policy/baselines.h"
#include "jaytrack/Serve/gateway.h"
#include "jaytrack/Serve/placementdesk.h"
#include "jaytrack/Serve/platformreader.h"
#include "jaytrack/Support/keyring.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <asio.hpp>

#include <random>
#include <thread>

namespace jaytrack {

namespace {

constexpr std::chrono::milliseconds controlTick{20};
constexpr int ticksPerSweep = 5;

std::int64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

class NoPeers final : public PeerDirectory
{
public:
    std::optional<PeerAddress> find(std::string_view, std::int64_t) override { return {}; }
};

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

struct Instance::Parts final : public PlatformListener
{
    Parts(const Settings &given, const Clock &time)
        : settings(given)
        , clock(time)
        , keys(given.peerKeys)
        , wakefulness(time, given.pauseLimit)
        , work(asio::make_work_guard(this->control))
        , timer(this->control)
        , targets(given.targetThreads)
        , placement(
                  [this](PlacementListener &listener) {
                      return makeBaseline(Baseline::LeastOutstanding, this->clock,
                                          std::random_device{}(), listener);
                  },
                  [this](std::function<void()> step) {
                      asio::post(this->control, std::move(step));
                  })
        , context{settings,  clock,       metrics, keys,          targets,
                  placement, wakefulness, peers,   settings.name, newIncarnation()}
        , gateway(this->context, this->documents)
        , platform(makeHttpPlatform(this->targets, time, std::random_device{}(), settings.configUrl,
                                    settings.instancesUrl, *this))
    {
        this->documents.watch([this](const std::shared_ptr<const Document> &document) {
            this->placement.with([&document](PlacementPolicy &policy) {
                policy.setEngines(engineSpecs(*document));
            });
            this->gateway.setReady(true);
        });
    }

    void onDocument(std::string bytes, std::uint64_t revision, TimePoint askedAt) override
    {
        this->documents.offer(bytes, revision, "platform");
        this->wakefulness.refreshed(askedAt);
    }

    void onUnchanged(TimePoint askedAt) override { this->wakefulness.refreshed(askedAt); }
    void onInstances(std::vector<ListedInstance>, TimePoint) override {}
    std::uint64_t revisionInForce() override { return this->documents.revision(); }

    void tick()
    {
        this->wakefulness.tick();
        this->platform->tick();
        this->placement.with([](PlacementPolicy &policy) { policy.tick(); });
        if (++this->ticks % ticksPerSweep == 0)
            this->gateway.sweep();
        this->timer.expires_after(controlTick);
        this->timer.async_wait([this](const asio::error_code &ec) {
            if (!ec)
                this->tick();
        });
    }

    Settings settings;
    const Clock &clock;
    Metrics metrics;
    KeyRing keys;
    Wakefulness wakefulness;
    DocumentStore documents;
    NoPeers peers;
    asio::io_context control;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    asio::steady_timer timer;
    HttpClient targets;
    PlacementDesk placement;
    ServeContext context;
    Gateway gateway;
    std::unique_ptr<Platform> platform;
    std::unique_ptr<HttpServer> callers;
    std::uint64_t ticks = 0;
    std::thread controlThread;
};

Instance::Instance(std::unique_ptr<Parts> made)
    : parts(std::move(made))
{
}

Instance::~Instance()
{
    this->parts->callers->stop();
    this->parts->control.stop();
    this->parts->controlThread.join();
}

Result<std::unique_ptr<Instance>> Instance::start(const Settings &settings, const Clock &clock)
{
    auto parts = std::make_unique<Parts>(settings, clock);
    HttpServerOptions listen;
    listen.address = settings.callers.address;
    listen.port = settings.callers.port;
    listen.threads = settings.callerThreads;
    listen.maxBodyBytes = settings.maxBodyBytes;
    listen.maxConnections = settings.maxRequests + settings.maxRequests / 4;
    auto callers = startHttpServer(listen, parts->gateway);
    if (!callers)
        return callers.error();
    parts->callers = std::move(callers.value());
    Parts *running = parts.get();
    parts->controlThread = std::thread([running] {
        running->tick();
        running->control.run();
    });
    logEvent(Severity::Info, "instance_started",
             {{"name", settings.name},
              {"incarnation", parts->context.incarnation},
              {"callers_port", parts->callers->port()}});
    return std::unique_ptr<Instance>(new Instance(std::move(parts)));
}

void Instance::drain()
{
    this->parts->gateway.drain();
    logEvent(Severity::Info, "drain_began",
             {{"in_service", static_cast<std::int64_t>(this->parts->gateway.inService())}});
}

bool Instance::drained() const
{
    return this->parts->gateway.isDraining() && this->parts->gateway.idle();
}

void Instance::cut()
{
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
    return 0;
}

} // namespace jaytrack
