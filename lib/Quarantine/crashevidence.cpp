#include "jaytrack/Quarantine/crashevidence.h"

#include "jaytrack/Quarantine/soundparts.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace jaytrack {

namespace {

// The evidence against one request.
struct RequestEvidence
{
    std::size_t ends = 0;
    bool wasOnlySuspect = false; // at one of the ends
    TimePoint lastEnd;
};
using EvidenceByRequest = std::map<std::string_view, RequestEvidence>;

// The evidence against one part, at targets with the same software.
struct PartEvidence
{
    std::size_t ends = 0;
    std::set<std::string_view> requests; // in which it stood there
    std::set<std::string_view> targets;  // that ended
    bool ranWellBefore = false;
    std::size_t depth = 0; // its place among the parts in doubt; shared parts stand first
    TimePoint firstEnd;
    TimePoint lastEnd;
};

struct PartAtSoftware
{
    std::string_view digest;
    std::string_view software;

    bool operator<(const PartAtSoftware &other) const
    {
        return std::tie(this->digest, this->software) < std::tie(other.digest, other.software);
    }
};
using EvidenceByPart = std::map<PartAtSoftware, PartEvidence>;

// Whether the end has the same cause as the last one that was counted, so that it is no further
// evidence against what was sent at this time.
bool hasCommonCause(TimePoint sentAt, TimePoint lastEnd, TimePoint endedAt,
                    const EvidenceOptions &options)
{
    const bool sentAfterLastEnd = sentAt + options.noticeJitter >= lastEnd;
    return !sentAfterLastEnd && endedAt - lastEnd < options.commonCauseWindow;
}

EvidenceByRequest collectRequests(std::span<const RecordedEnd *const> ends,
                                  const EvidenceOptions &options)
{
    EvidenceByRequest all;
    for (const RecordedEnd *end : ends) {
        if (!end->explainedBy.empty())
            continue;
        for (const auto &[digest, sent] : end->suspects) {
            RequestEvidence &evidence = all[digest];
            if (evidence.ends > 0 &&
                hasCommonCause(sent.at, evidence.lastEnd, end->endedAt, options))
                continue;
            ++evidence.ends;
            evidence.lastEnd = end->endedAt;
            evidence.wasOnlySuspect = evidence.wasOnlySuspect || end->suspects.size() == 1;
        }
    }
    return all;
}

void addPart(PartEvidence &evidence, const RecordedEnd &end, std::string_view request,
             const RecordedEnd::Sent &sent, std::size_t place, const EvidenceOptions &options)
{
    evidence.ranWellBefore = evidence.ranWellBefore || sent.parts[place].ranWellBefore;
    evidence.depth = std::max(evidence.depth, place);
    evidence.requests.insert(request);
    const bool counted = evidence.targets.count(end.target) > 0 && evidence.lastEnd == end.endedAt;
    if (counted ||
        (evidence.ends > 0 && hasCommonCause(sent.at, evidence.lastEnd, end.endedAt, options)))
        return;
    if (evidence.ends == 0)
        evidence.firstEnd = end.endedAt;
    ++evidence.ends;
    evidence.lastEnd = end.endedAt;
    evidence.targets.insert(end.target);
}

// An end that a barred request explains counts against the parts of that request alone: one of them
// may be the reason why the request had to be barred.
EvidenceByPart collectParts(std::span<const RecordedEnd *const> ends,
                            const EvidenceOptions &options)
{
    EvidenceByPart all;
    for (const RecordedEnd *end : ends) {
        for (const auto &[digest, sent] : end->suspects) {
            if (!end->explainedBy.empty() && end->explainedBy != digest)
                continue;
            for (std::size_t i = 0; i < sent.parts.size(); ++i)
                addPart(all[{sent.parts[i].digest, end->software}], *end, digest, sent, i, options);
        }
    }
    return all;
}

bool isSufficient(std::string_view digest, const RequestEvidence &evidence,
                  const EvidenceContext &context)
{
    const EvidenceOptions &options = context.options;
    return context.wasBarred(digest) ||
           evidence.ends >=
                   (evidence.wasOnlySuspect ? options.endsToBar : options.endsToBarIfNeverAlone);
}

// Another part that stood at the same ends, in the same requests, and may as well be the cause.
bool hasRival(const PartAtSoftware &part, const PartEvidence &evidence, const EvidenceByPart &all)
{
    return std::any_of(all.begin(), all.end(), [&](const auto &other) {
        return other.first.software == part.software && other.first.digest != part.digest &&
               other.second.ranWellBefore == evidence.ranWellBefore &&
               other.second.targets == evidence.targets &&
               other.second.requests == evidence.requests;
    });
}

bool isSufficient(const PartAtSoftware &part, const PartEvidence &evidence,
                  const EvidenceByPart &all, const EvidenceContext &context)
{
    if (context.wasBarred(part.digest))
        return true;
    const EvidenceOptions &options = context.options;
    const auto lastAnswer = context.soundParts.lastRunOfAny(part.software);
    const bool othersAreAnswered = lastAnswer && *lastAnswer >= evidence.firstEnd;
    if (!othersAreAnswered || evidence.requests.size() < options.requestsToBarPart ||
        evidence.ends < options.endsToBarPart)
        return false;
    if (evidence.ends >= options.endsToBarDoubtfulPart)
        return true;
    return !evidence.ranWellBefore && !hasRival(part, evidence, all);
}

// Whether the first part explains the ends better than the second: it never ran well, stood at more
// ends, or, where both stood at the same, is the more specific one.
bool explainsBetter(const PartEvidence &first, const PartEvidence &second)
{
    if (first.ranWellBefore != second.ranWellBefore)
        return !first.ranWellBefore;
    if (first.ends != second.ends)
        return first.ends > second.ends;
    return first.depth > second.depth;
}

} // namespace

std::optional<CrashVerdict> findCrashingRequest(std::span<const RecordedEnd *const> ends,
                                                const EvidenceContext &context)
{
    const EvidenceByRequest all = collectRequests(ends, context.options);
    std::optional<CrashVerdict> found;
    for (const auto &[digest, evidence] : all) {
        if ((found && evidence.ends <= found->ends) || !isSufficient(digest, evidence, context))
            continue;
        found = CrashVerdict{std::string(digest), evidence.ends, {}, evidence.lastEnd};
    }
    return found;
}

std::optional<CrashVerdict> findCrashingPart(std::span<const RecordedEnd *const> ends,
                                             const EvidenceContext &context)
{
    const EvidenceByPart all = collectParts(ends, context.options);
    const PartEvidence *best = nullptr;
    PartAtSoftware crashing;
    for (const auto &[part, evidence] : all) {
        if ((best != nullptr && !explainsBetter(evidence, *best)) ||
            !isSufficient(part, evidence, all, context))
            continue;
        best = &evidence;
        crashing = part;
    }
    if (best == nullptr)
        return std::nullopt;
    return CrashVerdict{std::string(crashing.digest), best->ends, std::string(crashing.software),
                        best->lastEnd};
}

} // namespace jaytrack
