// The parts of an entry instance and how they hear of each other. What it does with callers'
// requests stands in entryrequests.cpp, what it believes of targets and hears from other instances
// in entrybeliefs.cpp, how it starts, ticks and stops in entrylife.cpp.
#ifndef JAYTRACK_LIB_PROXY_ENTRYPARTS_H
#define JAYTRACK_LIB_PROXY_ENTRYPARTS_H

#include "jaytrack/Proxy/entryinstance.h"

#include "jaytrack/Proxy/exchange.h"
#include "jaytrack/Proxy/loadprober.h"
#include "jaytrack/Proxy/peerlink.h"
#include "jaytrack/Proxy/startupqueue.h"
#include "jaytrack/Proxy/storefeeds.h"
#include "jaytrack/Proxy/storesharing.h"
#include "jaytrack/Support/metrics.h"

#include <asio/signal_set.hpp>

namespace jaytrack {

struct EntryInstance::Parts final : public CallerHandler,
                                    public TargetDirectoryListener,
                                    public PeerLinkListener,
                                    public LoadSharing,
                                    public PlacementNotices,
                                    public SelfReportNotices,
                                    public QuarantineSpread,
                                    public LimitSpread,
                                    public CrashWatchListener
{
    // Answers the balancer's question and the request for metrics; what callers may not reach.
    struct Desk final : public CallerHandler
    {
        explicit Desk(Parts &served)
            : parts(served)
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

    Parts(const EntrySettings &given, const Clock &time, const Dialect &words);
    void applyBounds();
    Result<void> openListeners();
    Result<void> joinPeers();
    Result<void> followStore();
    bool isReady() const;

    // Whether this instance knows what it needs to serve requests, lately confirmed or not.
    bool knowsEnough() const { return this->configuration.table() && this->targets.isLoaded(); }

    // CallerHandler

    void onRequest(std::shared_ptr<CallerConnection> connection, CallerRequest request) override;
    void serve(std::shared_ptr<CallerConnection> connection, CallerRequest request);
    bool isBarred(const AdmittedRequest &request) const;
    std::chrono::milliseconds delayToReturn(const AdmittedRequest &refused);
    void refuse(CallerConnection &connection, const AdmittedRequest &admitted,
                const AdmissionInputs &inputs);
    void onRejectedRequest(int status, std::string_view reason) override;
    ConnectionLimits connectionLimits() const override;

    bool stopping() const override { return this->isStopping; }

    bool reserveMemory(std::size_t bytes) override;
    void releaseMemory(std::size_t bytes) override;

    // TargetDirectoryListener

    void onTargetListed(const TargetEntry &entry) override;
    void onTargetLeaving(const TargetEntry &entry, std::string_view reason) override;
    void onTargetRestarted(const TargetEntry &ended) override;
    void onTargetCold(const TargetEntry &entry) override;
    void onDataCentreUse(std::string_view dataCentre, bool outOfUse) override;

    void logListingsLeftOut();
    const ServiceRule *serviceOf(const TargetEntry &entry) const;
    bool isEngine(const TargetEntry &entry) const;
    void doubtWarmth(const TargetEntry &entry);
    void noteCold(std::string_view target, Duration left, std::string_view source);

    // PeerLinkListener

    void onPlacedByPeer(std::string_view engine, const GenerationNeed &need, bool copied) override;
    void onReleasedByPeer(std::string_view engine, std::uint32_t tokens) override;
    void onFailedForPeer(std::string_view engine, std::string_view peer) override;
    void onLoadFromPeer(std::string_view engine, const EngineLoad &load) override;
    void onStoreFromPeer(const SharedChanges &changes) override;
    void onFreshnessAsked(std::string_view peer, std::int64_t askedAt) override;
    void onFreshness(std::string_view peer, std::int64_t askedAt, Duration age, std::uint64_t era,
                     std::uint64_t revision) override;
    void onLeavingFromPeer(std::string_view target) override;
    void onColdFromPeer(std::string_view target, Duration left) override;

    void onQuarantineNews(const QuarantineNews &news) override { this->crashes.onNews(news); }

    void onLimitNews(std::string_view peer, const LimitNews &news) override
    {
        this->limitGate.onNews(peer, news);
    }

    void onPeersChanged(const std::vector<std::string> &names) override;

    // PlacementNotices

    void announcePlaced(std::string_view engine, const GenerationNeed &need, bool copied) override;
    void announceReleased(std::string_view engine, std::uint32_t tokens) override;
    void announceFailed(std::string_view engine) override;

    // SelfReportNotices

    void announceLeaving(std::string_view target) override;
    void announceCold(std::string_view target, Duration left) override;

    // QuarantineSpread

    void tellAll(const QuarantineNews &news) override;
    void tellSome(const QuarantineNews &news) override;

    // LimitSpread

    void tellLimits(std::string_view instance, const LimitNews &news) override;
    void tellAllLimits(const LimitNews &news) override;
    void tellSomeLimits(const LimitNews &news) override;

    // CrashWatchListener

    void onRequestBarred(std::string_view digest) override;

    // LoadSharing

    bool isMineToAsk(std::string_view engine) const override;

    bool isMine(std::string_view engine) const override { return this->shares.isMine(engine); }

    void onNoLoad(std::string_view engine) override;
    void onLoad(std::string_view engine, const EngineLoad &load) override;

    // Life of the process

    void waitForSignal();
    void beginStop();
    void logStopOrder(std::string_view event) const;

    // When the process ends in any case, shortly before its grace is over.
    TimePoint forcedEnd() const;
    void answerRest();
    void endNow();
    void reload(std::string_view cause);
    void checkFile();
    void tick();
    void goOnStopping();
    void logReadiness();

    EntrySettings settings;
    const Clock &clock;
    const Dialect &dialect;
    Desk desk; // outlives the loop, whose open connections hand back their memory to it
    asio::io_context loop{1};
    Metrics metrics;
    std::mt19937_64 random;
    LogAllowance listedLines; // of single targets
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
    ColdTargets cold;
    LimitGate limitGate;
    SelfReports selfReports;
    LoadProber prober;
    CrashWatch crashes;
    StartupQueue startup;
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

} // namespace jaytrack

#endif
