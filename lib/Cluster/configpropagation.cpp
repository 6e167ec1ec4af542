#include "jaytrack/Cluster/configpropagation.h"

#include <algorithm>

namespace jaytrack {

ConfigPropagation::ConfigPropagation(const Clock &clockSource, std::uint64_t seed,
                                     DocumentSink &documentSink, DocumentFetcher &documentFetcher,
                                     const ConfigPropagationOptions &initialOptions)
    : clock(clockSource)
    , random(seed)
    , sink(documentSink)
    , fetcher(documentFetcher)
    , options(initialOptions)
    , startedAt(clockSource.now())
    , confirmedAt(clockSource.now())
{
}

void ConfigPropagation::confirm(TimePoint at)
{
    this->confirmedAt = this->everConfirmed ? std::max(this->confirmedAt, at) : at;
    this->everConfirmed = true;
}

void ConfigPropagation::onPeer(const std::string &peerAddress, std::uint64_t revision, Duration age,
                               std::optional<TimePoint> requestedAt)
{
    const std::uint64_t own = this->sink.revision();
    if (this->isRefused(revision))
        return;
    if (revision > own) {
        this->newerPeers[peerAddress] = revision;
        this->maybeFetch();
        return;
    }
    this->newerPeers.erase(peerAddress);
    if (!requestedAt || *requestedAt < this->startedAt || own == 0)
        return;
    this->comparedWithPeer = true;
    if (revision == own)
        this->confirm(*requestedAt - age);
}

void ConfigPropagation::onService(std::uint64_t revision, TimePoint requestedAt)
{
    // A replica that is behind confirms nothing.
    if (revision != 0 && revision == this->sink.revision())
        this->confirm(requestedAt);
}

void ConfigPropagation::onFetched(const std::string &peerAddress, std::uint64_t revision,
                                  const std::optional<std::string> &bytes)
{
    if (peerAddress == this->fetchingFrom)
        this->fetchingFrom.clear();
    this->newerPeers.erase(peerAddress);
    if (bytes)
        this->sink.offer(*bytes, revision, "peer");
    if (bytes && this->sink.revision() < revision) {
        this->refusedRevision = revision;
        this->refusedAt = this->clock.now();
    }
    this->maybeFetch();
}

bool ConfigPropagation::isRefused(std::uint64_t revision) const
{
    return revision != 0 && revision == this->refusedRevision && revision > this->sink.revision() &&
           this->clock.now() - this->refusedAt < this->options.refusedPause;
}

void ConfigPropagation::tick()
{
    const bool late = !this->fetchingFrom.empty() &&
                      this->clock.now() - this->fetchingSince > this->options.fetchTimeout;
    if (!late)
        return;
    this->newerPeers.erase(this->fetchingFrom);
    this->fetchingFrom.clear();
    this->maybeFetch();
}

// Fetches from one peer at a time, chosen at random among those that report a newer revision. A
// slow or dead peer costs one time-out, and the other peers are not asked for the same bytes.
void ConfigPropagation::maybeFetch()
{
    if (!this->fetchingFrom.empty())
        return;
    const std::uint64_t own = this->sink.revision();
    std::erase_if(this->newerPeers, [this, own](const auto &entry) {
        return entry.second <= own || this->isRefused(entry.second);
    });
    if (this->newerPeers.empty())
        return;
    auto pick = this->newerPeers.begin();
    std::advance(pick, static_cast<std::ptrdiff_t>(this->random() % this->newerPeers.size()));
    this->fetchingFrom = pick->first;
    this->fetchingSince = this->clock.now();
    this->fetcher.fetchDocument(this->fetchingFrom);
}

Duration ConfigPropagation::age() const
{
    if (!this->everConfirmed)
        return std::chrono::hours(24);
    return this->clock.now() - this->confirmedAt;
}

bool ConfigPropagation::mayBeStale() const
{
    return this->age() > this->options.staleAfter;
}

bool ConfigPropagation::mayServe() const
{
    if (this->sink.revision() == 0)
        return false;
    const bool waitedEnough = this->clock.now() - this->startedAt > this->options.readyDelay;
    return this->comparedWithPeer ? this->newerPeers.empty() : waitedEnough;
}

} // namespace jaytrack
