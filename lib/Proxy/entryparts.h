// The components of an entry instance and the callbacks between them. Requests of callers are
// handled in entryrequests.cpp, the state of targets and messages from other instances in
// entrynotifications.cpp, and signals, ticks and shutdown in entrylife.cpp.
#ifndef JAYTRACK_LIB_PROXY_ENTRYPARTS_H
#define JAYTRACK_LIB_PROXY_ENTRYPARTS_H

#include "jaytrack/Proxy/entryinstance.h"

#include "jaytrack/Calls/targetcalls.h"
#include "jaytrack/Limits/brittlegate.h"
#include "jaytrack/Net/acceptgate.h"
#include "jaytrack/Peers/peerlink.h"
#include "jaytrack/Proxy/exchange.h"
#include "jaytrack/Proxy/loadprober.h"
#include "jaytrack/Proxy/relayserver.h"
#include "jaytrack/Proxy/runstops.h"
#include "jaytrack/Proxy/startupqueue.h"
#include "jaytrack/Store/storefeeds.h"
#include "jaytrack/Store/storesharing.h"
#include "jaytrack/Support/metrics.h"

#include <asio/signal_set.hpp>

namespace jaytrack {

struct EntryInstance::Parts final : public CallerHandler,
                                    public TargetDirectoryListener,
                                    public TargetAnswerListener,
                                    public PeerLinkListener,
                                    public LoadSharing,
                                    public PlacementNotices,
                                    public SelfReportNotices,
                                    public QuarantineTransport,
                                    public RetryTransport,
                                    public StoreTransport,
                                    public StreamVersionTransport,
                                    public CrashWatchListener
{
    // Serves the load balancer's readiness check and the metrics, which callers cannot reach.
    struct ServiceEndpoint final : public CallerHandler
    {
        explicit ServiceEndpoint(Parts &owner)
            : parts(owner)
        {
        }

        void onRequest(std::shared_ptr<CallerConnection> connection,
                       CallerRequest request) override;
        void onRejectedRequest(int, std::string_view) override {}
        ConnectionLimits connectionLimits() const override { return {}; }
        bool stopping() const override { return false; }
        bool reserveMemory(std::size_t) override { return true; }
        void releaseMemory(std::size_t) override {}

        Parts &parts;
    };

    // Carries the messages about one kind of limits.
    struct LimitChannel final : public LimitTransport
    {
        LimitChannel(Parts &owner, LimitKind limitKind)
            : parts(owner)
            , kind(limitKind)
        {
        }

        void sendLimits(std::string_view instance, const LimitMessage &message) override;
        void broadcastLimits(const LimitMessage &message) override;
        void sendLimitsToSample(const LimitMessage &message) override;

        Parts &parts;
        LimitKind kind;
    };

    Parts(const EntrySettings &entrySettings, const Clock &time, const Dialect &platform);
    void applyBounds();
    Result<void> openListeners();
    Result<void> joinPeers();
    Result<void> followStore();
    bool isReady() const;

    // Whether this instance has a configuration and targets, regardless of how recently they were
    // confirmed.
    bool hasInitialData() const { return this->configuration.table() && this->targets.isLoaded(); }

    // CallerHandler

    void onRequest(std::shared_ptr<CallerConnection> connection, CallerRequest request) override;
    void serve(std::shared_ptr<CallerConnection> connection, CallerRequest request);
    bool isBarred(const AdmittedRequest &request) const;
    std::chrono::milliseconds retryDelay(const AdmittedRequest &refused);
    void refuse(CallerConnection &connection, const AdmittedRequest &admitted,
                const AdmissionInputs &inputs);
    void onRejectedRequest(int status, std::string_view reason) override;
    ConnectionLimits connectionLimits() const override;
    bool mayRead(std::size_t openConnections) override;

    bool stopping() const override { return this->isStopping; }

    bool reserveMemory(std::size_t bytes) override;
    void releaseMemory(std::size_t bytes) override;

    // TargetDirectoryListener

    void onTargetListed(const TargetEntry &entry) override;
    void onTargetLeaving(const TargetEntry &entry, std::string_view reason) override;
    void onTargetRestarted(const TargetEntry &ended) override;
    void onTargetCold(const TargetEntry &entry) override;
    void onDataCentreUse(std::string_view dataCentre, bool outOfUse) override;

    // TargetAnswerListener

    void onTargetAnswer(std::string_view target, std::string_view attemptId,
                        const MessageHead &answer) override
    {
        this->selfReports.recordAnswer(target, attemptId, answer);
    }

    // Records the versions of the service's targets, so that streams keep to theirs.
    void recordVersion(const TargetEntry &entry);
    void recordListedVersions(std::string_view service);

    void logOmittedListings();
    const ServiceRule *serviceOf(const TargetEntry &entry) const;
    bool isEngine(const TargetEntry &entry) const;
    void assumeCold(const TargetEntry &entry);
    void recordCold(std::string_view target, Duration remaining, std::string_view source);

    // PeerLinkListener

    void onPlacedByPeer(std::string_view engine, const GenerationNeed &need, bool copied) override;
    void onReleasedByPeer(std::string_view engine, std::uint32_t tokens) override;
    void onPausesFromPeer(std::string_view engine, bool pausedTooLong) override;
    void onFailedForPeer(std::string_view engine, std::string_view peer) override;
    void onLoadFromPeer(std::string_view engine, const EngineLoad &load) override;
    void onStoreFromPeer(const SharedChanges &changes) override;
    void onFreshnessQuery(std::string_view peer, std::int64_t requestedAt) override;
    void onFreshnessAnswer(std::string_view peer, std::int64_t requestedAt,
                           const StoreFreshness &freshness) override;
    void onLeavingFromPeer(std::string_view target) override;
    void onColdFromPeer(std::string_view target, Duration remaining) override;

    void onQuarantineNews(const QuarantineMessage &message) override
    {
        this->crashes.onMessage(message);
    }

    void onLimitNews(std::string_view peer, LimitKind kind, const LimitMessage &message) override
    {
        if (kind == LimitKind::Named)
            this->limitGate.onMessage(peer, message);
        else
            this->brittle.onMessage(peer, message);
    }

    void onRetryPermits(std::string_view peer, const LimitMessage &message) override
    {
        this->retries.onMessage(peer, message);
    }

    void onStreamVersions(std::string_view peer, const StreamVersionMessage &message) override
    {
        this->streamVersions.onMessage(peer, message);
    }

    void onPeersChanged(const std::vector<std::string> &names) override;

    void onRelayPeersChanged(std::vector<RelayPeer> others) override
    {
        this->calls.setPeers(std::move(others));
    }

    // PlacementNotices

    void announcePlaced(std::string_view engine, const GenerationNeed &need, bool copied) override;
    void announceReleased(std::string_view engine, std::uint32_t tokens) override;
    void announcePauses(std::string_view engine, bool pausedTooLong) override;
    void announceFailed(std::string_view engine) override;

    // SelfReportNotices

    void announceLeaving(std::string_view target) override;
    void announceCold(std::string_view target, Duration remaining) override;

    // QuarantineTransport

    void broadcastQuarantine(const QuarantineMessage &message) override;
    void sendQuarantineToSample(const QuarantineMessage &message) override;

    // RetryTransport

    void sendRetryPermits(std::string_view instance, const LimitMessage &message) override;

    // StoreTransport

    void shareStoreChanges(const SharedChanges &changes) override;
    void sendFreshnessQuery(std::string_view instance, std::int64_t requestedAt) override;
    void sendFreshnessAnswer(std::string_view instance, std::int64_t requestedAt,
                             const StoreFreshness &freshness) override;
    std::string randomInstance() override;
    void requestSnapshot(std::string_view instance) override;

    // StreamVersionTransport

    void sendStreamVersions(std::string_view instance,
                            const StreamVersionMessage &message) override;

    // CrashWatchListener

    void onRequestBarred(std::string_view digest) override;
    void verifyEnd(const std::string &target, const std::function<void(bool)> &done) override;

    // LoadSharing

    bool isMineToAsk(std::string_view engine) const override;

    bool isMine(std::string_view engine) const override { return this->shares.isAssigned(engine); }

    // Passes on to the prober which engines this instance places work at, if that has changed.
    void updateProbedEngines();

    void onNoLoad(std::string_view engine) override;
    void onLoad(std::string_view engine, const EngineLoad &load) override;

    // Process lifecycle

    void waitForSignal();
    void beginStop();
    void logStopOrder(std::string_view event) const;

    // Time at which the process exits in any case, shortly before its drain grace period ends.
    TimePoint forcedExitTime() const;
    void answerRemaining();
    void exitNow();
    void reload(std::string_view cause);
    void checkFile();
    void tick();
    void continueStop();
    void logReadiness();
    void recordLoopDelay();
    void logClosedUnread();

    EntrySettings settings;
    const Clock &clock;
    const Dialect &dialect;
    // Outlives the loop, whose open connections release their memory to it.
    ServiceEndpoint serviceEndpoint;
    AnswerMemory answerMemory; // outlives the loop as well, which keeps exchanges
    asio::io_context loop{1};
    Metrics metrics;
    std::mt19937_64 random;
    LogAllowance listingLogAllowance; // rate limit of log lines about single targets
    TargetDirectory directory;
    SendGate gate;
    TargetCalls calls;
    RelayServer relays;
    TargetHealth health;
    EngineChoice engines;
    EngineShares shares;
    RetryGate retries;
    ConfigurationFeed configuration;
    TargetFeed targets;
    StoreFeeds feeds;
    StoreSharing sharing;
    SnapshotServer snapshots;
    TargetPauses pauses;
    ColdTargets cold;
    LimitChannel namedLimits;
    LimitChannel imposedLimits;
    LimitGate limitGate;
    BrittleGate brittle;
    SelfReports selfReports;
    LoadProber prober;
    CrashWatch crashes;
    StartupQueue startup;
    StreamVersions streamVersions;
    RunStops runStops;
    std::set<std::shared_ptr<Exchange>> open;
    ExchangeContext context;
    AdmissionBounds bounds;
    CallerServer callers;
    CallerServer readiness;
    CallerServer metricsServer;
    asio::signal_set signals;
    asio::steady_timer timer;
    std::unique_ptr<PeerLink> peers; // null if the settings contain no peer address
    std::shared_ptr<StoreFollower> follower;
    std::string settingsFile;
    std::string settingsText;
    std::size_t reserved = 0;
    AcceptGate acceptGate;
    TimePoint tickDueAt;
    std::map<std::string, std::size_t, std::less<>> closedUnread; // by reason, since the last line
    int ticks = 0;
    std::uint64_t probedAssignment = 0; // version of the assignment of engines that the prober has
    bool isStopping = false;
    bool remainingAnswered = false;
    bool wasReady = false;
    TimePoint stopBegan;
};

} // namespace jaytrack

#endif
