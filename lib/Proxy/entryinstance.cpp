#include "entryparts.h"

#include "jaytrack/Net/socket.h"

#include <algorithm>

namespace jaytrack {

namespace {

// Keys are refused this long before the limit of their freshness, in case the process is delayed
// between its decision and sending the request.
constexpr std::chrono::milliseconds keyFreshnessMargin{500};

// Limits log lines about newly listed targets; the first listing may contain thousands.
constexpr std::size_t maxListingLines = 40;
constexpr std::chrono::seconds listingLogPeriod{1};

// Answers that are being received may together use the instance's memory limit divided by this.
constexpr std::size_t answerMemoryDivisor = 8;

// Returns the number of other instances named in the settings.
std::size_t configuredPeerCount(const EntrySettings &settings)
{
    const auto others =
            std::count_if(settings.peerSeeds.begin(), settings.peerSeeds.end(),
                          [&settings](const std::string &seed) { return seed != settings.peers; });
    return static_cast<std::size_t>(others);
}

} // namespace

EntryInstance::Parts::Parts(const EntrySettings &entrySettings, const Clock &time,
                            const Dialect &platform)
    : settings(entrySettings)
    , clock(time)
    , dialect(platform)
    , serviceEndpoint(*this)
    , answerMemory(this->settings.memoryBytes / answerMemoryDivisor)
    , random(std::random_device{}())
    , listingLogAllowance(time, maxListingLines, listingLogPeriod)
    , directory(*this)
    , gate(this->directory)
    , calls(this->loop, time, this->metrics, this->gate, *this, entrySettings.dataCentre,
            entrySettings.peerKeys, this->random())
    , relays(this->calls, time, this->metrics, this->directory, *this, platform, this->crashes,
             this->snapshots)
    , health(time, this->random())
    , engines(time, this->random(), entrySettings.dataCentre, entrySettings.tuning.engines)
    , shares(entrySettings.name)
    , retries(this->loop, time, entrySettings.name, configuredPeerCount(entrySettings),
              {entrySettings.retryRatio, entrySettings.retryWindow, entrySettings.retrySlack},
              this->random(), *this, this->metrics)
    , configuration(time, platform)
    , targets(this->loop, time, platform, this->metrics, this->directory)
    , feeds(this->configuration, this->targets)
    , sharing(time, entrySettings.name, entrySettings.tuning.sharing, this->random,
              this->configuration, this->targets, *this)
    , snapshots(this->calls.fleetKeys(), this->sharing, this->metrics)
    , pauses(time)
    , cold(time, entrySettings.name, entrySettings.coldBound,
           configuredPeerCount(entrySettings) > 0)
    , namedLimits(*this, LimitKind::Named)
    , imposedLimits(*this, LimitKind::Imposed)
    , limitGate(this->loop, time, entrySettings.name, configuredPeerCount(entrySettings),
                this->random(), this->namedLimits, this->metrics)
    , brittle(this->loop, time, entrySettings.name, configuredPeerCount(entrySettings),
              this->random(), this->imposedLimits, this->metrics)
    , selfReports(platform, this->directory, this->pauses, this->cold, this->limitGate,
                  this->brittle, *this)
    , prober(this->loop, this->calls, time, platform, this->engines, *this, this->selfReports,
             this->limitGate, this->random, entrySettings.tuning.probeInterval)
    , crashes(this->loop, time, this->metrics, *this, *this)
    , startup(
              this->loop, time, [this] { return this->hasInitialData(); },
              [this](std::shared_ptr<CallerConnection> connection, CallerRequest request) {
                  this->serve(std::move(connection), std::move(request));
              })
    , streamVersions(time, entrySettings.name, configuredPeerCount(entrySettings) > 0,
                     entrySettings.firstStart, *this)
    , runStops(this->loop, this->calls, time, platform, this->limitGate, this->metrics)
    , context{this->loop,
              this->calls,
              time,
              platform,
              this->metrics,
              this->directory,
              this->health,
              this->engines,
              this->shares,
              this->retries,
              this->settings.regions,
              this->random,
              *this,
              this->crashes,
              this->selfReports,
              this->pauses,
              this->cold,
              this->limitGate,
              this->brittle,
              this->streamVersions,
              this->runStops,
              this->answerMemory,
              this->settings.tuning.streams,
              this->open}
    , callers(this->loop, time, *this)
    , readiness(this->loop, time, this->serviceEndpoint)
    , metricsServer(this->loop, time, this->serviceEndpoint)
    , signals(this->loop)
    , timer(this->loop)
    , acceptGate(entrySettings.descriptors)
{
    this->applyBounds();
}

void EntryInstance::Parts::applyBounds()
{
    this->bounds.keyFreshness = std::max<Duration>(this->settings.keyFreshness - keyFreshnessMargin,
                                                   this->settings.keyFreshness / 2);
    this->bounds.denialFreshness = this->settings.configurationDelay;
}

Result<void> EntryInstance::Parts::openListeners()
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

Result<void> EntryInstance::Parts::joinPeers()
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
    const auto relayAddress = parseEndpoint(this->settings.peers);
    if (!relayAddress)
        return relayAddress.error();
    const Result<void> opened = this->relays.listen(relayAddress.value());
    return opened ? this->peers->open() : opened;
}

Result<void> EntryInstance::Parts::followStore()
{
    const auto store = parseEndpoint(this->settings.store);
    if (!store)
        return store.error();
    StoreFollowerOptions everything;
    everything.store = store.value();
    everything.stalePrefix = this->dialect.targetsPrefix();
    everything.gap = this->settings.tuning.storeReadInterval;
    everything.systemRanBefore = !this->settings.firstStart;
    this->follower =
            std::make_shared<StoreFollower>(this->loop, this->clock, this->dialect, everything,
                                            this->random(), this->feeds, this->sharing);
    if (this->peers)
        this->sharing.attach(this->follower);
    this->follower->start();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool EntryInstance::Parts::isReady() const
{
    return !this->isStopping && this->hasInitialData() &&
           this->configuration.age() <= this->bounds.keyFreshness;
}

EntryInstance::EntryInstance(const EntrySettings &settings, const Clock &clock,
                             const Dialect &dialect)
    : parts(std::make_unique<Parts>(settings, clock, dialect))
{
}

EntryInstance::~EntryInstance()
{
    // Open exchanges hold references to the parts, so they are released first.
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
