#include "jaytrack/Quarantine/crashquarantine.h"

#include <algorithm>

namespace jaytrack {

CrashQuarantine::End &CrashQuarantine::findOrAddEnd(std::string_view target, TimePoint endedAt)
{
    const auto found = std::find_if(this->ends.rbegin(), this->ends.rend(), [&](const End &end) {
        const Duration between =
                end.endedAt > endedAt ? end.endedAt - endedAt : endedAt - end.endedAt;
        return end.target == target && between < this->options.sameEndWindow;
    });
    if (found != this->ends.rend())
        return *found;
    if (this->ends.size() >= this->options.maxEnds)
        this->ends.pop_front();
    const auto place =
            std::upper_bound(this->ends.begin(), this->ends.end(), endedAt,
                             [](TimePoint moment, const End &end) { return moment < end.endedAt; });
    return *this->ends.insert(place, {std::string(target), endedAt, {}, false});
}

void CrashQuarantine::recordEnd(const TargetEnd &report)
{
    if (report.suspects.empty())
        return;
    End &end = this->findOrAddEnd(report.target, this->clock.now() - report.ago);
    for (const Suspect &suspect : report.suspects) {
        end.explained = end.explained || this->isBarred(suspect.digest);
        if (end.suspects.size() < this->options.maxSuspects)
            end.suspects.emplace(suspect.digest, end.endedAt - suspect.timeAtTarget);
    }
    this->evaluateAt = std::min(this->evaluateAt, end.endedAt + this->options.settleTime);
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

void CrashQuarantine::removeExpired()
{
    const TimePoint now = this->clock.now();
    while (!this->ends.empty() && now - this->ends.front().endedAt > this->options.evidenceLifetime)
        this->ends.pop_front();
    std::erase_if(this->bars, [&](const auto &entry) {
        return now > entry.second.until + this->options.probation;
    });
}

// An evaluation goes through all suspects of all ends, about ten thousand at most, so it runs once
// for each end and not at each tick.
void CrashQuarantine::scheduleEvaluation()
{
    this->evaluateAt = TimePoint::max();
    for (const End &end : this->ends) {
        if (!this->isSettled(end))
            this->evaluateAt = std::min(this->evaluateAt, end.endedAt + this->options.settleTime);
    }
}

bool CrashQuarantine::isSettled(const End &end) const
{
    return this->clock.now() - end.endedAt >= this->options.settleTime;
}

// Collects the evidence against each request from the settled ends that no barred request explains.
CrashQuarantine::EvidenceByDigest CrashQuarantine::collectEvidence() const
{
    EvidenceByDigest all;
    for (const End &end : this->ends) {
        if (end.explained || !this->isSettled(end))
            continue;
        for (const auto &[digest, sentAt] : end.suspects) {
            Evidence &evidence = all[digest];
            const bool sentAfterLastEnd = sentAt + this->options.noticeJitter >= evidence.lastEnd;
            const bool hasCommonCause =
                    evidence.ends > 0 && !sentAfterLastEnd &&
                    end.endedAt - evidence.lastEnd < this->options.commonCauseWindow;
            if (hasCommonCause)
                continue;
            ++evidence.ends;
            evidence.lastEnd = end.endedAt;
            evidence.wasOnlySuspect = evidence.wasOnlySuspect || end.suspects.size() == 1;
        }
    }
    return all;
}

bool CrashQuarantine::isSufficient(std::string_view digest, const Evidence &evidence) const
{
    const bool wasBarred = this->bars.find(digest) != this->bars.end();
    if (wasBarred)
        return true;
    return evidence.ends >= (evidence.wasOnlySuspect ? this->options.endsToBar
                                                     : this->options.endsToBarIfNeverAlone);
}

// Returns the request with the most ends if they are sufficient to bar it, or an empty string.
std::string_view CrashQuarantine::primarySuspect(const EvidenceByDigest &all) const
{
    std::string_view found;
    std::size_t highestCount = 0;
    for (const auto &[digest, evidence] : all) {
        if (evidence.ends <= highestCount || !this->isSufficient(digest, evidence))
            continue;
        found = digest;
        highestCount = evidence.ends;
    }
    return found;
}

// Marks the ends of a barred request as explained, so that they no longer count against other
// requests.
void CrashQuarantine::markExplained(std::string_view digest)
{
    for (End &end : this->ends)
        end.explained = end.explained || end.suspects.count(digest) > 0;
}

std::vector<BarredRequest> CrashQuarantine::evaluate()
{
    this->removeExpired();
    std::vector<BarredRequest> newlyBarred;
    if (this->clock.now() < this->evaluateAt)
        return newlyBarred;
    this->scheduleEvaluation();
    while (true) {
        const EvidenceByDigest all = this->collectEvidence();
        const std::string digest(this->primarySuspect(all));
        if (digest.empty())
            return newlyBarred;
        BarredRequest request{digest, this->options.barDuration, all.at(digest).ends};
        this->bar(request);
        newlyBarred.push_back(std::move(request));
    }
}

bool CrashQuarantine::bar(const BarredRequest &request)
{
    if (this->isBarred(request.digest))
        return false;
    if (this->bars.size() >= this->options.maxBars) {
        const auto earliest = std::min_element(this->bars.begin(), this->bars.end(),
                                               [](const auto &left, const auto &right) {
                                                   return left.second.until < right.second.until;
                                               });
        this->bars.erase(earliest);
    }
    const Duration remaining = std::min(request.remaining, this->options.barDuration);
    this->bars[request.digest] = Bar{this->clock.now() + remaining, request.ends};
    this->markExplained(request.digest);
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
    std::vector<BarredRequest> requests;
    for (const auto &[digest, entry] : this->bars) {
        const Duration remaining = this->barredFor(digest);
        if (remaining > Duration(0))
            requests.push_back({digest, remaining, entry.ends});
    }
    return requests;
}

} // namespace jaytrack
