#include "jaytrack/Quarantine/crashquarantine.h"

#include <algorithm>

namespace jaytrack {

CrashQuarantine::End &CrashQuarantine::endOf(std::string_view target, TimePoint endedAt)
{
    const auto found = std::find_if(this->ends.rbegin(), this->ends.rend(), [&](const End &end) {
        const Duration between =
                end.endedAt > endedAt ? end.endedAt - endedAt : endedAt - end.endedAt;
        return end.target == target && between < this->options.sameEnd;
    });
    if (found != this->ends.rend())
        return *found;
    if (this->ends.size() >= this->options.mostEnds)
        this->ends.pop_front();
    const auto place =
            std::upper_bound(this->ends.begin(), this->ends.end(), endedAt,
                             [](TimePoint moment, const End &end) { return moment < end.endedAt; });
    return *this->ends.insert(place, {std::string(target), endedAt, {}, false});
}

void CrashQuarantine::targetEnded(const TargetEnd &told)
{
    if (told.suspects.empty())
        return;
    End &end = this->endOf(told.target, this->clock.now() - told.ago);
    for (const Suspect &suspect : told.suspects) {
        end.explained = end.explained || this->isBarred(suspect.digest);
        if (end.suspects.size() < this->options.mostSuspects)
            end.suspects.emplace(suspect.digest, end.endedAt - suspect.held);
    }
    this->weighAt = std::min(this->weighAt, end.endedAt + this->options.settleTime);
}

bool CrashQuarantine::recordSafeRun(std::string_view digest)
{
    bool suspected = false;
    for (End &end : this->ends) {
        const auto found = end.suspects.find(digest);
        if (found == end.suspects.end())
            continue;
        end.suspects.erase(found);
        suspected = true;
    }
    return suspected;
}

void CrashQuarantine::dropOld()
{
    const TimePoint now = this->clock.now();
    while (!this->ends.empty() && now - this->ends.front().endedAt > this->options.evidenceLife)
        this->ends.pop_front();
    std::erase_if(this->bars, [&](const auto &entry) {
        return now > entry.second.until + this->options.probation;
    });
}

// Weighing looks at all suspects of all ends, some ten thousand at the most, so it is done once for
// each end and not at each tick.
void CrashQuarantine::planWeighing()
{
    this->weighAt = TimePoint::max();
    for (const End &end : this->ends) {
        if (!this->isSettled(end))
            this->weighAt = std::min(this->weighAt, end.endedAt + this->options.settleTime);
    }
}

bool CrashQuarantine::isSettled(const End &end) const
{
    return this->clock.now() - end.endedAt >= this->options.settleTime;
}

// Of the ends that have no explanation yet, by the requests that stood at them.
CrashQuarantine::EvidenceByDigest CrashQuarantine::collectEvidence() const
{
    EvidenceByDigest all;
    for (const End &end : this->ends) {
        if (end.explained || !this->isSettled(end))
            continue;
        for (const auto &[digest, sentAt] : end.suspects) {
            Evidence &evidence = all[digest];
            const bool sentOn = sentAt + this->options.noticeJitter >= evidence.lastEnd;
            const bool together = evidence.ends > 0 && !sentOn &&
                                  end.endedAt - evidence.lastEnd < this->options.apart;
            if (together)
                continue;
            ++evidence.ends;
            evidence.lastEnd = end.endedAt;
            evidence.stoodAlone = evidence.stoodAlone || end.suspects.size() == 1;
        }
    }
    return all;
}

bool CrashQuarantine::isEnough(std::string_view digest, const Evidence &evidence) const
{
    const bool wasBarred = this->bars.find(digest) != this->bars.end();
    if (wasBarred)
        return true;
    return evidence.ends >=
           (evidence.stoodAlone ? this->options.endsToBar : this->options.endsToBarInDoubt);
}

// The request under which most targets have ended, if it is enough of them; empty for none.
std::string_view CrashQuarantine::mostSuspect(const EvidenceByDigest &all) const
{
    std::string_view found;
    std::size_t most = 0;
    for (const auto &[digest, evidence] : all) {
        if (evidence.ends <= most || !this->isEnough(digest, evidence))
            continue;
        found = digest;
        most = evidence.ends;
    }
    return found;
}

// Whoever stood beside a barred request at an end is not suspected for it any more.
void CrashQuarantine::explain(std::string_view digest)
{
    for (End &end : this->ends)
        end.explained = end.explained || end.suspects.count(digest) > 0;
}

std::vector<BarredRequest> CrashQuarantine::weigh()
{
    this->dropOld();
    std::vector<BarredRequest> fresh;
    if (this->clock.now() < this->weighAt)
        return fresh;
    this->planWeighing();
    while (true) {
        const EvidenceByDigest all = this->collectEvidence();
        const std::string digest(this->mostSuspect(all));
        if (digest.empty())
            return fresh;
        BarredRequest request{digest, this->options.barTime, all.at(digest).ends};
        this->bar(request);
        fresh.push_back(std::move(request));
    }
}

bool CrashQuarantine::bar(const BarredRequest &request)
{
    if (this->isBarred(request.digest))
        return false;
    if (this->bars.size() >= this->options.mostBars) {
        const auto first = std::min_element(this->bars.begin(), this->bars.end(),
                                            [](const auto &left, const auto &right) {
                                                return left.second.until < right.second.until;
                                            });
        this->bars.erase(first);
    }
    const Duration left = std::min(request.left, this->options.barTime);
    this->bars[request.digest] = Bar{this->clock.now() + left, request.ends};
    this->explain(request.digest);
    return true;
}

bool CrashQuarantine::isBarred(std::string_view digest) const
{
    return this->barredFor(digest) > Duration(0);
}

Duration CrashQuarantine::barredFor(std::string_view digest) const
{
    const auto found = this->bars.find(digest);
    if (found == this->bars.end())
        return Duration(0);
    return std::max(Duration(0), found->second.until - this->clock.now());
}

std::vector<BarredRequest> CrashQuarantine::barred() const
{
    std::vector<BarredRequest> list;
    for (const auto &[digest, entry] : this->bars) {
        const Duration left = this->barredFor(digest);
        if (left > Duration(0))
            list.push_back({digest, left, entry.ends});
    }
    return list;
}

} // namespace jaytrack
