#include "jaytrack/Cluster/configspread.h"

#include <algorithm>

namespace jaytrack {

ConfigSpread::ConfigSpread(const Clock &time, std::uint64_t seed, DocumentSink &target,
                           DocumentFetcher &source, const ConfigSpreadOptions &chosen)
    : clock(time)
    , random(seed)
    , sink(target)
    , fetcher(source)
    , options(chosen)
    , startedAt(time.now())
    , confirmedAt(time.now())
{
}

void ConfigSpread::confirm(TimePoint at)
{
    this->confirmedAt = this->everConfirmed ? std::max(this->confirmedAt, at) : at;
    this->everConfirmed = true;
}

void ConfigSpread::onPeer(const std::string &peerAddress, std::uint64_t revision, Duration age,
                          std::optional<TimePoint> askedAt)
{
    const std::uint64_t own = this->sink.revision();
    if (revision > own) {
        this->ahead[peerAddress] = revision;
        this->maybeFetch();
        return;
    }
    this->ahead.erase(peerAddress);
    if (!askedAt || *askedAt < this->startedAt || own == 0)
        return;
    this->peerCompared = true;
    if (revision == own)
        this->confirm(*askedAt - age);
}

void ConfigSpread::onService(std::uint64_t revision, TimePoint askedAt)
{
    // A replica that is behind confirms nothing.
    if (revision != 0 && revision == this->sink.revision())
        this->confirm(askedAt);
}

void ConfigSpread::onFetched(const std::string &peerAddress, std::uint64_t revision,
                             const std::optional<std::string> &bytes)
{
    if (peerAddress == this->fetchingFrom)
        this->fetchingFrom.clear();
    this->ahead.erase(peerAddress);
    if (bytes)
        this->sink.offer(*bytes, revision, "peer");
    this->maybeFetch();
}

void ConfigSpread::tick()
{
    const bool late = !this->fetchingFrom.empty() &&
                      this->clock.now() - this->fetchingSince > this->options.fetchTimeout;
    if (!late)
        return;
    this->ahead.erase(this->fetchingFrom);
    this->fetchingFrom.clear();
    this->maybeFetch();
}

// One fetch at a time, from any peer that claims something newer: a peer that turns out to be slow
// or dead costs one time-out, and the rest of the fleet is not asked for the same bytes.
void ConfigSpread::maybeFetch()
{
    if (!this->fetchingFrom.empty())
        return;
    const std::uint64_t own = this->sink.revision();
    std::erase_if(this->ahead, [own](const auto &entry) { return entry.second <= own; });
    if (this->ahead.empty())
        return;
    auto pick = this->ahead.begin();
    std::advance(pick, static_cast<std::ptrdiff_t>(this->random() % this->ahead.size()));
    this->fetchingFrom = pick->first;
    this->fetchingSince = this->clock.now();
    this->fetcher.fetchDocument(this->fetchingFrom);
}

Duration ConfigSpread::age() const
{
    if (!this->everConfirmed)
        return std::chrono::hours(24);
    return this->clock.now() - this->confirmedAt;
}

bool ConfigSpread::cautious() const
{
    return this->age() > this->options.cautiousAfter;
}

bool ConfigSpread::mayServe() const
{
    if (this->sink.revision() == 0)
        return false;
    const bool waitedEnough = this->clock.now() - this->startedAt > this->options.readyDelay;
    return this->peerCompared ? this->ahead.empty() : waitedEnough;
}

} // namespace jaytrack
