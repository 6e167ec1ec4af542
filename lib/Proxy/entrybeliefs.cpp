// What an entry instance believes of targets, and what it and the other instances tell each other.
#include "entryparts.h"

#include "jaytrack/Support/log.h"

#include <vector>

namespace jaytrack {

namespace {

// Targets write their entries about once a second, and the list lags by as much.
constexpr std::chrono::milliseconds untilEntriesTell{2200};

} // namespace

void EntryInstance::Parts::onTargetListed(const TargetEntry &entry)
{
    if (this->listedLines.take())
        logEvent(Severity::Info, "target_listed",
                 {{"target", entry.id},
                  {"service", entry.service},
                  {"address", entry.address},
                  {"data_centre", entry.dataCentre}});
    this->engines.listed(entry);
    if (!this->isEngine(entry))
        return;
    this->shares.listed(entry.id);
    if (!this->directory.isOutOfUse(entry.dataCentre))
        this->prober.add(entry);
}

void EntryInstance::Parts::logListingsLeftOut()
{
    const std::size_t leftOut = this->listedLines.takeSuppressedCount();
    if (leftOut == 0)
        return;
    logEvent(Severity::Info, "targets_listed",
             {{"more", static_cast<std::int64_t>(leftOut)},
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

void EntryInstance::Parts::noteCold(std::string_view target, Duration left, std::string_view source)
{
    if (!this->cold.heard(target, left))
        return;
    logEvent(Severity::Info, "target_cold",
             {{"target", target}, {"for_ms", toMillis(left)}, {"source", source}});
    this->metrics.count("jaytrack_targets_cold_total");
}

void EntryInstance::Parts::onTargetCold(const TargetEntry &entry)
{
    this->noteCold(entry.id, entry.coldFor, "store");
}

void EntryInstance::Parts::onColdFromPeer(std::string_view target, Duration left)
{
    this->noteCold(target, left, "peer");
}

// The targets of a data centre that comes back may have gone cold just before, and their entries
// say so only some time later.
void EntryInstance::Parts::doubtWarmth(const TargetEntry &entry)
{
    const ServiceRule *service = this->serviceOf(entry);
    if (service != nullptr && service->cold.requestsPerSecond > 0)
        this->noteCold(entry.id, service->cold.lasts + untilEntriesTell, "data_centre_back");
}

// What was known of the engines' load is old when they come back, and would be forecast to have
// grown ever since.
void EntryInstance::Parts::onDataCentreUse(std::string_view dataCentre, bool outOfUse)
{
    const std::vector<TargetEntry> concerned = this->directory.staying(dataCentre);
    logEvent(Severity::Warning, outOfUse ? "data_centre_out_of_use" : "data_centre_back",
             {{"data_centre", dataCentre},
              {"targets", static_cast<std::int64_t>(concerned.size())},
              {"revision", static_cast<std::int64_t>(this->follower->knownRevision())},
              {"config_age_ms", toMillis(this->configuration.age())}});
    this->metrics.count(outOfUse ? "jaytrack_data_centres_out_of_use_total"
                                 : "jaytrack_data_centres_back_total");
    for (const TargetEntry &target : concerned) {
        if (!outOfUse)
            this->doubtWarmth(target);
        if (!this->isEngine(target))
            continue;
        if (outOfUse) {
            this->prober.remove(target.id);
            continue;
        }
        this->engines.forget(target.id);
        this->engines.listed(target);
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
    this->engines.gone(entry.id);
    this->shares.gone(entry.id);
    this->health.forget(entry.id);
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
    this->shares.gone(ended.id);
    this->health.forget(ended.id);
    this->limitGate.forget(ended.id);
    this->prober.remove(ended.id);
    const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
    for (const auto &exchange : served)
        exchange->onTargetRestarted(ended);
}

void EntryInstance::Parts::onPlacedByPeer(std::string_view engine, const GenerationNeed &need,
                                          bool copied)
{
    this->engines.placedByOthers(engine, need, copied);
}

void EntryInstance::Parts::onReleasedByPeer(std::string_view engine, std::uint32_t tokens)
{
    this->engines.releasedByOthers(engine, tokens);
}

void EntryInstance::Parts::onFailedForPeer(std::string_view engine, std::string_view peer)
{
    this->engines.failedForOther(engine, peer);
}

void EntryInstance::Parts::onLoadFromPeer(std::string_view engine, const EngineLoad &load)
{
    this->engines.reported(engine, load);
    if (load.leaving)
        this->directory.markLeaving(engine, "reported_to_peer");
}

void EntryInstance::Parts::onStoreFromPeer(const SharedChanges &changes)
{
    this->sharing.onStoreFromPeer(changes);
}

void EntryInstance::Parts::onFreshnessAsked(std::string_view peer, std::int64_t askedAt)
{
    this->sharing.onFreshnessAsked(peer, askedAt);
}

void EntryInstance::Parts::onFreshness(std::string_view peer, std::int64_t askedAt, Duration age,
                                       std::uint64_t era, std::uint64_t revision)
{
    this->sharing.onFreshness(peer, askedAt, age, era, revision);
}

void EntryInstance::Parts::onLeavingFromPeer(std::string_view target)
{
    this->directory.markLeaving(target, "told_to_peer");
}

void EntryInstance::Parts::onPeersChanged(const std::vector<std::string> &names)
{
    this->sharing.onPeersChanged(names);
    this->retries.setInstances(names.size() + 1);
    this->cold.setInstances(names);
    this->limitGate.setInstances(names);
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

void EntryInstance::Parts::announceCold(std::string_view target, Duration left)
{
    if (this->peers)
        this->peers->announceCold(target, left);
}

void EntryInstance::Parts::tellAll(const QuarantineNews &news)
{
    if (this->peers)
        this->peers->tellAll(news);
}

void EntryInstance::Parts::tellSome(const QuarantineNews &news)
{
    if (this->peers)
        this->peers->tellSome(news);
}

void EntryInstance::Parts::tellLimits(std::string_view instance, const LimitNews &news)
{
    if (this->peers)
        this->peers->tellLimits(instance, news);
}

void EntryInstance::Parts::tellAllLimits(const LimitNews &news)
{
    if (this->peers)
        this->peers->tellAllLimits(news);
}

void EntryInstance::Parts::tellSomeLimits(const LimitNews &news)
{
    if (this->peers)
        this->peers->tellSomeLimits(news);
}

void EntryInstance::Parts::onRequestBarred(std::string_view digest)
{
    const std::vector<std::shared_ptr<Exchange>> served(this->open.begin(), this->open.end());
    for (const auto &exchange : served)
        exchange->onRequestBarred(digest);
}

bool EntryInstance::Parts::isMineToAsk(std::string_view engine) const
{
    return this->shares.isMineToAsk(engine);
}

void EntryInstance::Parts::onNoLoad(std::string_view engine)
{
    this->engines.failed(engine);
    this->announceFailed(engine);
}

void EntryInstance::Parts::onLoad(std::string_view engine, const EngineLoad &load)
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

} // namespace jaytrack
