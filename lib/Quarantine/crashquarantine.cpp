#include "jaytrack/Quarantine/crashquarantine.h"

#include <algorithm>

namespace jaytrack {

namespace {

// A part that stood at this many ends, in as many requests, is so likely to be the cause that
// requests with it wait for the verdict. One end is no reason: every part that is new was at it.
constexpr std::size_t endsToSuspect = 2;

// The verdict on an end is due within this time.
constexpr std::chrono::milliseconds suspicionDuration{500};

} // namespace

RecordedEnd &CrashQuarantine::findOrAddEnd(const TargetEnd &report, TimePoint endedAt)
{
    const auto found =
            std::find_if(this->ends.rbegin(), this->ends.rend(), [&](const RecordedEnd &end) {
                const Duration between =
                        end.endedAt > endedAt ? end.endedAt - endedAt : endedAt - end.endedAt;
                return end.target == report.target && between < this->options.sameEndWindow;
            });
    if (found != this->ends.rend())
        return *found;
    if (this->ends.size() >= this->options.maxEnds)
        this->ends.pop_front();
    const auto place = std::upper_bound(
            this->ends.begin(), this->ends.end(), endedAt,
            [](TimePoint moment, const RecordedEnd &end) { return moment < end.endedAt; });
    return *this->ends.insert(place, {report.target, report.software, endedAt, {}, {}});
}

// Returns the parts that have not run well since the suspect was sent.
std::vector<SuspectPart> CrashQuarantine::unresolvedParts(std::span<const SuspectPart> parts,
                                                          std::string_view software,
                                                          TimePoint sentAt) const
{
    std::vector<SuspectPart> unresolved;
    for (const SuspectPart &part : parts) {
        const auto lastRun = this->soundParts.lastRun(software, part.digest);
        if (lastRun && *lastRun >= sentAt)
            continue;
        unresolved.push_back({part.digest, part.ranWellBefore || lastRun});
    }
    return unresolved;
}

void CrashQuarantine::describeParts(TargetEnd &end) const
{
    const TimePoint endedAt = this->clock.now() - end.ago;
    for (Suspect &suspect : end.suspects) {
        suspect.parts =
                this->unresolvedParts(suspect.parts, end.software, endedAt - suspect.timeAtTarget);
        if (suspect.parts.size() > this->options.maxPartsPerSuspect)
            suspect.parts.resize(this->options.maxPartsPerSuspect);
    }
}

void CrashQuarantine::addSuspect(RecordedEnd &end, const Suspect &suspect)
{
    const auto barred =
            std::find_if(suspect.parts.begin(), suspect.parts.end(),
                         [this](const SuspectPart &part) { return this->isBarred(part.digest); });
    if (this->isBarred(suspect.digest))
        end.explainedBy = suspect.digest;
    else if (barred != suspect.parts.end())
        end.explainedBy = barred->digest;
    if (end.suspects.size() >= this->options.maxSuspects)
        return;
    const TimePoint sentAt = end.endedAt - suspect.timeAtTarget;
    const std::span<const SuspectPart> all(suspect.parts);
    end.suspects.try_emplace(
            suspect.digest,
            RecordedEnd::Sent{sentAt, this->unresolvedParts(
                                              all.first(std::min(all.size(),
                                                                 this->options.maxPartsPerSuspect)),
                                              end.software, sentAt)});
}

void CrashQuarantine::recordEnd(const TargetEnd &report)
{
    if (report.suspects.empty())
        return;
    RecordedEnd &end = this->findOrAddEnd(report, this->clock.now() - report.ago);
    for (const Suspect &suspect : report.suspects)
        this->addSuspect(end, suspect);
    this->evaluateAt = std::min(this->evaluateAt, end.endedAt + this->options.settleTime);
}

bool CrashQuarantine::clearRequest(std::string_view digest)
{
    bool suspected = false;
    for (RecordedEnd &end : this->ends) {
        const auto found = end.suspects.find(digest);
        if (found == end.suspects.end())
            continue;
        end.suspects.erase(found);
        suspected = true;
    }
    return suspected;
}

// Removes the part from the suspects that were sent before the target began to answer a request
// with it. Returns whether it was among them.
bool CrashQuarantine::clearPartAt(std::string_view part, std::string_view software,
                                  TimePoint beganAt)
{
    std::size_t cleared = 0;
    for (RecordedEnd &end : this->ends) {
        if (end.software != software)
            continue;
        for (auto &[digest, sent] : end.suspects) {
            if (sent.at <= beganAt)
                cleared += std::erase_if(sent.parts, [part](const SuspectPart &suspect) {
                    return suspect.digest == part;
                });
        }
    }
    return cleared > 0;
}

// Lifts a part's bar if the part ran well after the last end for which it was barred.
bool CrashQuarantine::liftBar(std::string_view part, std::string_view software, TimePoint beganAt)
{
    const auto found = this->bars.find(part);
    if (found == this->bars.end() || found->second.lastEnd >= beganAt ||
        (found->second.software != anySoftware && found->second.software != software))
        return false;
    this->bars.erase(found);
    return true;
}

// Ends may have been waiting for this to be evaluated.
void CrashQuarantine::recordAnswerBegun(std::string_view software, TimePoint beganAt)
{
    const bool isFirstSinceEnd =
            !this->ends.empty() &&
            this->soundParts.lastRunOfAny(software) < std::optional(this->ends.back().endedAt);
    if (isFirstSinceEnd)
        this->evaluateAt = std::min(this->evaluateAt, this->clock.now());
    this->soundParts.recordRun(software, beganAt);
}

Cleared CrashQuarantine::recordSafeRun(const SafeRun &run)
{
    Cleared cleared;
    this->recordAnswerBegun(run.software, run.beganAt);
    if (!run.request.digest.empty())
        cleared.request = this->clearRequest(run.request.digest);
    for (const std::string &part : run.request.parts) {
        this->soundParts.record(run.software, part, run.beganAt);
        const bool lifted = this->liftBar(part, run.software, run.beganAt);
        if (this->clearPartAt(part, run.software, run.beganAt) || lifted)
            cleared.parts.push_back(
                    {part, std::string(run.software), this->clock.now() - run.beganAt});
    }
    return cleared;
}

bool CrashQuarantine::clearPart(const SoundPart &part)
{
    const TimePoint beganAt = this->clock.now() - part.beganAgo;
    this->soundParts.recordRun(part.software, beganAt);
    this->soundParts.record(part.software, part.digest, beganAt);
    this->clearPartAt(part.digest, part.software, beganAt);
    return this->liftBar(part.digest, part.software, beganAt);
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
    for (const RecordedEnd &end : this->ends) {
        if (!this->isSettled(end))
            this->evaluateAt = std::min(this->evaluateAt, end.endedAt + this->options.settleTime);
    }
}

bool CrashQuarantine::isSettled(const RecordedEnd &end) const
{
    return this->clock.now() - end.endedAt >= this->options.settleTime;
}

EvidenceContext CrashQuarantine::evidenceContext() const
{
    return {this->options.evidence, this->soundParts, [this](std::string_view digest) {
                return this->bars.find(digest) != this->bars.end();
            }};
}

// A request is preferred to its parts, because barring it refuses fewer others.
std::optional<BarredRequest> CrashQuarantine::nextVerdict() const
{
    std::vector<const RecordedEnd *> settled;
    for (const RecordedEnd &end : this->ends) {
        if (this->isSettled(end))
            settled.push_back(&end);
    }
    const EvidenceContext context = this->evidenceContext();
    std::optional<CrashVerdict> verdict = findCrashingRequest(settled, context);
    if (!verdict)
        verdict = findCrashingPart(settled, context);
    if (!verdict)
        return std::nullopt;
    return BarredRequest{verdict->digest, this->options.barDuration, verdict->ends,
                         verdict->software, this->clock.now() - verdict->lastEnd};
}

// Marks the ends of a barred request or part as explained, so that they no longer count against
// others.
void CrashQuarantine::markExplained(std::string_view digest)
{
    const auto hasPart = [digest](const RecordedEnd::Sent &sent) {
        return std::any_of(sent.parts.begin(), sent.parts.end(),
                           [digest](const SuspectPart &part) { return part.digest == digest; });
    };
    for (RecordedEnd &end : this->ends) {
        const bool explains = end.suspects.count(digest) > 0 ||
                              std::any_of(end.suspects.begin(), end.suspects.end(),
                                          [&](const auto &one) { return hasPart(one.second); });
        if (explains)
            end.explainedBy = digest;
    }
}

std::vector<BarredRequest> CrashQuarantine::evaluate()
{
    this->removeExpired();
    std::vector<BarredRequest> newlyBarred;
    if (this->clock.now() < this->evaluateAt)
        return newlyBarred;
    this->scheduleEvaluation();
    while (const auto verdict = this->nextVerdict()) {
        if (!this->bar(*verdict))
            break;
        newlyBarred.push_back(*verdict);
    }
    return newlyBarred;
}

bool CrashQuarantine::bar(const BarredRequest &request)
{
    if (this->objection(request))
        return false;
    const auto found = this->bars.find(request.digest);
    const bool known = found != this->bars.end() && this->remaining(found->second) > Duration(0);
    const bool covered = known && (found->second.software == request.software ||
                                   found->second.software == anySoftware);
    if (covered)
        return false;
    if (found == this->bars.end() && this->bars.size() >= this->options.maxBars) {
        const auto earliest = std::min_element(this->bars.begin(), this->bars.end(),
                                               [](const auto &left, const auto &right) {
                                                   return left.second.until < right.second.until;
                                               });
        this->bars.erase(earliest);
    }
    const TimePoint now = this->clock.now();
    const Duration remaining = std::min(request.remaining, this->options.barDuration);
    this->bars[request.digest] =
            Bar{now + remaining, request.ends, known ? std::string(anySoftware) : request.software,
                now - request.lastEndAgo};
    this->markExplained(request.digest);
    return true;
}

std::optional<SoundPart> CrashQuarantine::objection(const BarredRequest &request) const
{
    if (request.software.empty())
        return std::nullopt;
    const auto lastRun = this->soundParts.lastRun(request.software, request.digest);
    if (!lastRun || *lastRun <= this->clock.now() - request.lastEndAgo)
        return std::nullopt;
    return SoundPart{request.digest, request.software, this->clock.now() - *lastRun};
}

Duration CrashQuarantine::remaining(const Bar &bar) const
{
    return std::max(Duration(0), bar.until - this->clock.now());
}

bool CrashQuarantine::isBarred(std::string_view digest) const
{
    const auto found = this->bars.find(digest);
    return found != this->bars.end() && this->remaining(found->second) > Duration(0);
}

bool CrashQuarantine::applies(const Bar &bar, std::string_view part,
                              std::string_view software) const
{
    return bar.software == anySoftware || bar.software == software ||
           !this->soundParts.lastRun(software, part);
}

Duration CrashQuarantine::barredFor(const RequestIdentity &request) const
{
    const auto whole = this->bars.find(request.digest);
    Duration longest = whole == this->bars.end() ? Duration(0) : this->remaining(whole->second);
    for (const std::string &part : request.parts) {
        const auto found = this->bars.find(part);
        if (found == this->bars.end())
            continue;
        const Bar &bar = found->second;
        if (bar.software == anySoftware || !this->soundParts.runsElsewhere(bar.software, part))
            longest = std::max(longest, this->remaining(bar));
    }
    return longest;
}

Duration CrashQuarantine::barredAt(const RequestIdentity &request, std::string_view software) const
{
    const auto whole = this->bars.find(request.digest);
    Duration longest = whole == this->bars.end() ? Duration(0) : this->remaining(whole->second);
    for (const std::string &part : request.parts) {
        const auto found = this->bars.find(part);
        if (found != this->bars.end() && this->applies(found->second, part, software))
            longest = std::max(longest, this->remaining(found->second));
    }
    return longest;
}

std::vector<BarredRequest> CrashQuarantine::barred() const
{
    std::vector<BarredRequest> requests;
    for (const auto &[digest, entry] : this->bars) {
        const Duration left = this->remaining(entry);
        if (left > Duration(0))
            requests.push_back(
                    {digest, left, entry.ends, entry.software, this->clock.now() - entry.lastEnd});
    }
    return requests;
}

bool CrashQuarantine::hasUnknownPart(const RequestIdentity &request,
                                     std::string_view software) const
{
    return std::any_of(request.parts.begin(), request.parts.end(), [&](const std::string &part) {
        return !this->soundParts.lastRun(software, part);
    });
}

bool CrashQuarantine::awaitsVerdict() const
{
    return !this->ends.empty() && this->ends.back().endedAt + suspicionDuration > this->clock.now();
}

Duration CrashQuarantine::suspectedFor(const RequestIdentity &request,
                                       std::string_view software) const
{
    if (request.parts.empty() || !this->awaitsVerdict())
        return Duration(0);
    const TimePoint now = this->clock.now();
    std::map<std::string_view, std::size_t> endsOfPart;
    TimePoint lastEnd;
    for (const RecordedEnd &end : this->ends) {
        if (end.software != software || !end.explainedBy.empty())
            continue;
        std::map<std::string_view, bool> here;
        for (const auto &[digest, sent] : end.suspects) {
            for (const SuspectPart &part : sent.parts) {
                if (!part.ranWellBefore)
                    here[part.digest] = true;
            }
        }
        for (const std::string &part : request.parts) {
            if (here.count(part) > 0 && ++endsOfPart[part] >= endsToSuspect)
                lastEnd = std::max(lastEnd, end.endedAt);
        }
    }
    const TimePoint until = lastEnd + suspicionDuration;
    return lastEnd == TimePoint() || until <= now ? Duration(0) : until - now;
}

} // namespace jaytrack
