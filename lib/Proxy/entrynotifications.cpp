// Handles changes of targets and the messages exchanged with other instances.
#include "entryparts.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Store/snapshotfetch.h"
#include "jaytrack/Support/log.h"

#include <utility>
#include <vector>

namespace jaytrack {

namespace {

// Time until the entries of targets are current: targets write them about once a second, and the
// list lags by the same amount.
constexpr std::chrono::milliseconds entryDelay{2200};

// Any answer shows that a target lives.
constexpr std::chrono::milliseconds verificationTimeout{300};

// Finds out whether a target has ended or only this instance's links to it. Keeps itself alive
// until it is done.
class EndVerification final : public TargetCallListener,
                              public std::enable_shared_from_this<EndVerification>
{
public:
    EndVerification(asio::io_context &loop, std::function<void(bool)> whenDone)
        : timer(loop)
        , done(std::move(whenDone))
    {
    }

    void start(TargetCalls &calls, const Dialect &dialect, const TargetEntry &target,
               const asio::ip::tcp::endpoint &endpoint)
    {
        TargetRequest request;
        request.endpoint = endpoint;
        request.target = dialect.loadPath();
        request.headers.push_back({"Host", target.address});
        CallContext about;
        about.target = target.id;
        about.service = target.service;
        about.purpose = CallPurpose::Background;
        about.isNewWork = false;
        this->call = calls.start(std::move(request), std::move(about), this->weak_from_this());
        this->timer.expires_after(verificationTimeout);
        this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &) {
            self->conclude(true);
        });
    }

    void onAnswerHead(MessageHead) override { this->conclude(false); }
    void onAnswerBody(std::string_view) override {}
    void onCallEnd(const TargetCallEnd &) override { this->conclude(true); }

private:
    void conclude(bool ended)
    {
        if (!this->done)
            return;
        this->timer.cancel();
        this->call->cancel();
        std::exchange(this->done, nullptr)(ended);
    }

    asio::steady_timer timer;
    std::function<void(bool)> done;
    std::shared_ptr<RoutedCall> call;
};

} // namespace

void EntryInstance::Parts::onTargetListed(const TargetEntry &entry)
{
    if (this->listingLogAllowance.take())
        logEvent(Severity::Info, "target_listed",
                 {{"target", entry.id},
                  {"service", entry.service},
                  {"address", entry.address},
                  {"version", entry.softwareVersion},
                  {"data_centre", entry.dataCentre}});
    this->recordVersion(entry);
    this->engines.onListed(entry);
    if (!this->isEngine(entry))
        return;
    this->shares.onListed(entry.id);
    if (!this->directory.isOutOfUse(entry.dataCentre))
        this->prober.add(entry);
}

void EntryInstance::Parts::recordVersion(const TargetEntry &entry)
{
    const bool wasMixed = this->streamVersions.isMixed(entry.service);
    if (this->streamVersions.recordListed(entry.service, entry.softwareVersion))
        this->recordListedVersions(entry.service);
    if (!wasMixed && this->streamVersions.isMixed(entry.service))
        logEvent(Severity::Info, "versions_mixed",
                 {{"service", entry.service},
                  {"target", entry.id},
                  {"version", entry.softwareVersion}});
}

void EntryInstance::Parts::recordListedVersions(std::string_view service)
{
    for (const std::string &version : this->directory.versionsOf(service))
        this->streamVersions.recordListed(service, version);
}

void EntryInstance::Parts::logOmittedListings()
{
    const std::size_t omitted = this->listingLogAllowance.takeSuppressedCount();
    if (omitted == 0)
        return;
    logEvent(Severity::Info, "targets_listed",
             {{"more", static_cast<std::int64_t>(omitted)},
              {"targets", static_cast<std::int64_t>(this->directory.size())}});
}

const ServiceRule *EntryInstance::Parts::serviceOf(const TargetEntry &entry) const
{
    const auto table = this->configuration.table();
    return table ? table->serviceNamed(entry.service) : nullptr;
}

bool EntryInstance::Parts::isEngine(const TargetEntry &entry) const
{
    const ServiceRule *service = this->serviceOf(entry);
    return service != nullptr && service->engine;
}

void EntryInstance::Parts::recordCold(std::string_view target, Duration remaining,
                                      std::string_view source)
{
    if (!this->cold.recordCold(target, remaining))
        return;
    logEvent(Severity::Info, "target_cold",
             {{"target", target}, {"for_ms", toMillis(remaining)}, {"source", source}});
    this->metrics.count("jaytrack_targets_cold_total");
}

void EntryInstance::Parts::onTargetCold(const TargetEntry &entry)
{
    this->recordCold(entry.id, entry.coldFor, "store");
}

void EntryInstance::Parts::onColdFromPeer(std::string_view target, Duration remaining)
{
    this->recordCold(target, remaining, "peer");
}

// Treats a target of a data centre that is back in use as cold, because it may have become cold
// just before, and its entry shows that only later.
void EntryInstance::Parts::assumeCold(const TargetEntry &entry)
{
    const ServiceRule *service = this->serviceOf(entry);
    if (service != nullptr && service->cold.requestsPerSecond > 0)
        this->recordCold(entry.id, service->cold.duration + entryDelay, "data_centre_back");
}

// Load data of engines is discarded when their data centre is back in use: it is old, and the
// forecast would assume that the load has grown ever since.
void EntryInstance::Parts::onDataCentreUse(std::string_view dataCentre, bool outOfUse)
{
    const std::vector<TargetEntry> affected = this->directory.nonLeavingTargets(dataCentre);
    logEvent(Severity::Warning, outOfUse ? "data_centre_out_of_use" : "data_centre_back",
             {{"data_centre", dataCentre},
              {"targets", static_cast<std::int64_t>(affected.size())},
              {"revision", static_cast<std::int64_t>(this->follower->knownRevision())},
              {"config_age_ms", toMillis(this->configuration.age())}});
    this->metrics.count(outOfUse ? "jaytrack_data_centres_out_of_use_total"
                                 : "jaytrack_data_centres_back_total");
    for (const TargetEntry &target : affected) {
        if (!outOfUse)
            this->assumeCold(target);
        if (!this->isEngine(target))
            continue;
        if (outOfUse) {
            this->prober.remove(target.id);
            continue;
        }
        this->engines.forget(target.id);
        this->engines.onListed(target);
        this->prober.add(target);
    }
    if (!outOfUse)
        return;
    const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
    for (const auto &exchange : served)
        exchange->onDataCentreOutOfUse(dataCentre);
}

void EntryInstance::Parts::onTargetLeaving(const TargetEntry &entry, std::string_view reason)
{
    logEvent(Severity::Info, "target_leaving",
             {{"target", entry.id}, {"service", entry.service}, {"reason", reason}});
    this->recordVersion(entry);
    this->engines.onRemoved(entry.id);
    this->shares.onRemoved(entry.id);
    this->health.forget(entry.id);
    this->calls.forget(entry.id);
    this->brittle.forget(entry.id);
    this->prober.remove(entry.id);
    const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
    for (const auto &exchange : served)
        exchange->onTargetLeaving(entry, reason);
}

void EntryInstance::Parts::onTargetRestarted(const TargetEntry &ended)
{
    logEvent(Severity::Warning, "target_restarted",
             {{"target", ended.id},
              {"service", ended.service},
              {"address", ended.address},
              {"leaving", ended.leaving ? 1 : 0}});
    this->metrics.count("jaytrack_targets_restarted_total");
    this->engines.forget(ended.id);
    this->shares.onRemoved(ended.id);
    this->health.forget(ended.id);
    this->calls.forget(ended.id);
    this->limitGate.forget(ended.id);
    this->brittle.forget(ended.id);
    this->prober.remove(ended.id);
    const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
    for (const auto &exchange : served)
        exchange->onTargetRestarted(ended);
}

void EntryInstance::Parts::onPlacedByPeer(std::string_view engine, const GenerationNeed &need,
                                          bool copied)
{
    this->engines.recordRemotePlacement(engine, need, copied);
}

void EntryInstance::Parts::onReleasedByPeer(std::string_view engine, std::uint32_t tokens)
{
    this->engines.recordRemoteRelease(engine, tokens);
}

void EntryInstance::Parts::onPausesFromPeer(std::string_view engine, bool pausedTooLong)
{
    this->engines.recordPauses(engine, pausedTooLong);
}

void EntryInstance::Parts::onFailedForPeer(std::string_view engine, std::string_view peer)
{
    this->engines.recordRemoteFailure(engine, peer);
}

void EntryInstance::Parts::onLoadFromPeer(std::string_view engine, const EngineLoad &load)
{
    this->engines.recordReport(engine, load);
    if (load.leaving)
        this->directory.markLeaving(engine, "reported_to_peer");
}

void EntryInstance::Parts::onStoreFromPeer(const SharedChanges &changes)
{
    this->sharing.onStoreFromPeer(changes);
}

void EntryInstance::Parts::onFreshnessQuery(std::string_view peer, std::int64_t requestedAt)
{
    this->sharing.onFreshnessQuery(peer, requestedAt);
}

void EntryInstance::Parts::onFreshnessAnswer(std::string_view peer, std::int64_t requestedAt,
                                             const StoreFreshness &freshness)
{
    this->sharing.onFreshnessAnswer(peer, requestedAt, freshness);
}

void EntryInstance::Parts::onLeavingFromPeer(std::string_view target)
{
    this->directory.markLeaving(target, "told_to_peer");
}

void EntryInstance::Parts::onPeersChanged(const std::vector<std::string> &names)
{
    this->sharing.onPeersChanged(names);
    this->retries.setInstances(names);
    this->cold.setInstances(names);
    this->limitGate.setInstances(names);
    this->brittle.setInstances(names);
    this->streamVersions.setInstances(names);
}

void EntryInstance::Parts::announcePlaced(std::string_view engine, const GenerationNeed &need,
                                          bool copied)
{
    if (this->peers)
        this->peers->announce(engine, need, copied);
}

void EntryInstance::Parts::announceReleased(std::string_view engine, std::uint32_t tokens)
{
    if (this->peers)
        this->peers->announceReleased(engine, tokens);
}

void EntryInstance::Parts::announcePauses(std::string_view engine, bool pausedTooLong)
{
    if (this->peers)
        this->peers->announcePauses(engine, pausedTooLong);
}

void EntryInstance::Parts::announceFailed(std::string_view engine)
{
    if (this->peers)
        this->peers->announceFailed(engine);
}

void EntryInstance::Parts::announceLeaving(std::string_view target)
{
    if (this->peers)
        this->peers->announceLeaving(target);
}

void EntryInstance::Parts::announceCold(std::string_view target, Duration remaining)
{
    if (this->peers)
        this->peers->announceCold(target, remaining);
}

void EntryInstance::Parts::broadcastQuarantine(const QuarantineMessage &message)
{
    if (this->peers)
        this->peers->broadcastQuarantine(message);
}

void EntryInstance::Parts::sendQuarantineToSample(const QuarantineMessage &message)
{
    if (this->peers)
        this->peers->sendQuarantineToSample(message);
}

void EntryInstance::Parts::LimitChannel::sendLimits(std::string_view instance,
                                                    const LimitMessage &message)
{
    if (this->parts.peers)
        this->parts.peers->sendLimits(instance, this->kind, message);
}

void EntryInstance::Parts::sendRetryPermits(std::string_view instance, const LimitMessage &message)
{
    if (this->peers)
        this->peers->sendRetryPermits(instance, message);
}

void EntryInstance::Parts::shareStoreChanges(const SharedChanges &changes)
{
    if (this->peers)
        this->peers->shareStoreChanges(changes);
}

void EntryInstance::Parts::sendFreshnessQuery(std::string_view instance, std::int64_t requestedAt)
{
    if (this->peers)
        this->peers->sendFreshnessQuery(instance, requestedAt);
}

void EntryInstance::Parts::sendFreshnessAnswer(std::string_view instance, std::int64_t requestedAt,
                                               const StoreFreshness &freshness)
{
    if (this->peers)
        this->peers->sendFreshnessAnswer(instance, requestedAt, freshness);
}

std::string EntryInstance::Parts::randomInstance()
{
    return this->peers ? this->peers->randomInstance() : std::string();
}

void EntryInstance::Parts::requestSnapshot(std::string_view instance)
{
    const KeyRing *keys = this->calls.fleetKeys();
    const auto endpoint = parseEndpoint(this->peers ? this->peers->addressOf(instance) : "");
    if (!endpoint || keys == nullptr)
        return this->sharing.onSnapshot(std::nullopt);
    SnapshotFetch::start(this->loop, endpoint.value(), *keys, this->random(),
                         [this](const std::optional<StoreSnapshot> &snapshot) {
                             this->sharing.onSnapshot(snapshot);
                         });
}

void EntryInstance::Parts::sendStreamVersions(std::string_view instance,
                                              const StreamVersionMessage &message)
{
    if (this->peers)
        this->peers->sendStreamVersions(instance, message);
}

void EntryInstance::Parts::LimitChannel::broadcastLimits(const LimitMessage &message)
{
    if (this->parts.peers)
        this->parts.peers->broadcastLimits(this->kind, message);
}

void EntryInstance::Parts::LimitChannel::sendLimitsToSample(const LimitMessage &message)
{
    if (this->parts.peers)
        this->parts.peers->sendLimitsToSample(this->kind, message);
}

void EntryInstance::Parts::onRequestBarred(std::string_view digest)
{
    const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
    for (const auto &exchange : served)
        exchange->onRequestBarred(digest);
}

// A target whose links to this instance were reset looks as if it had ended; the other instances
// can tell.
void EntryInstance::Parts::verifyEnd(const std::string &target,
                                     const std::function<void(bool)> &done)
{
    const TargetEntry *listed = this->directory.find(target);
    const auto endpoint = listed != nullptr ? parseEndpoint(listed->address)
                                            : Result<asio::ip::tcp::endpoint>(Error{
                                                      ResultCode::NoTarget, "target not listed"});
    if (!endpoint)
        return done(true);
    std::make_shared<EndVerification>(this->loop, done)
            ->start(this->calls, this->dialect, *listed, endpoint.value());
}

bool EntryInstance::Parts::isMineToAsk(std::string_view engine) const
{
    return this->shares.shouldPollLoad(engine);
}

void EntryInstance::Parts::updateProbedEngines()
{
    const auto table = this->configuration.table();
    const std::uint64_t version = this->shares.assignmentVersion();
    if (!table || version == this->probedAssignment)
        return;
    this->probedAssignment = version;
    std::vector<const TargetEntry *> all;
    for (const auto &[name, service] : table->services) {
        if (!service.engine)
            continue;
        const std::vector<const TargetEntry *> usable = this->directory.usable(name);
        all.insert(all.end(), usable.begin(), usable.end());
    }
    this->prober.reassign(all);
}

void EntryInstance::Parts::onNoLoad(std::string_view engine)
{
    const TargetEntry *listed = this->directory.find(engine);
    if (listed == nullptr || this->calls.isLost(engine, listed->service))
        return;
    this->engines.recordFailure(engine);
    if (this->calls.isTargetsFault(engine, listed->service))
        this->announceFailed(engine);
}

void EntryInstance::Parts::onLoad(std::string_view engine, const EngineLoad &load)
{
    if (load.startedAt != unknownStart)
        this->directory.updateStartTime(engine, load.startedAt);
    // A report of another incarnation says nothing about the engine that was probed.
    const TargetEntry *listed = this->directory.find(engine);
    const bool other = listed == nullptr ||
                       (load.startedAt != unknownStart && listed->startedAt != unknownStart &&
                        load.startedAt != listed->startedAt);
    if (other)
        return;
    this->engines.recordReport(engine, load);
    if (this->peers)
        this->peers->announce(engine, load);
    if (load.leaving)
        this->directory.markLeaving(engine, "reported");
}

} // namespace jaytrack
