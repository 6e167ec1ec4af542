#include "jaytrack/Quarantine/quarantinemessage.h"

#include "peer_types.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace jaytrack {

namespace {

// Longer than any bar. A larger number of microseconds would overflow when converted to
// nanoseconds.
constexpr std::chrono::microseconds maxAge = std::chrono::hours(24);

std::int64_t toMicros(Duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

Duration toTime(std::int64_t micros)
{
    return std::chrono::microseconds(std::clamp<std::int64_t>(micros, 0, maxAge.count()));
}

// Suspects share most of their parts, so each part is written once and referred to by its place.
wire::TargetEndNotice toNotice(const TargetEnd &end)
{
    wire::TargetEndNotice notice;
    notice.target = end.target;
    notice.software = end.software;
    notice.agoMicros = toMicros(end.ago);
    std::map<std::string_view, std::int16_t> places;
    for (const Suspect &suspect : end.suspects) {
        wire::SuspectNotice suspectNotice;
        suspectNotice.digest = suspect.digest;
        suspectNotice.heldMicros = toMicros(suspect.timeAtTarget);
        for (const SuspectPart &part : suspect.parts) {
            const auto [place, isNew] =
                    places.try_emplace(part.digest, static_cast<std::int16_t>(notice.parts.size()));
            if (isNew) {
                notice.parts.emplace_back();
                notice.parts.back().digest = part.digest;
                notice.parts.back().ranWellBefore = part.ranWellBefore;
            }
            suspectNotice.parts.push_back(place->second);
        }
        notice.suspects.push_back(std::move(suspectNotice));
    }
    return notice;
}

// References to parts that the notice does not contain are dropped.
TargetEnd fromNotice(const wire::TargetEndNotice &notice)
{
    TargetEnd end{notice.target, {}, toTime(notice.agoMicros), notice.software};
    for (const wire::SuspectNotice &suspectNotice : notice.suspects) {
        Suspect suspect{suspectNotice.digest, toTime(suspectNotice.heldMicros)};
        for (const std::int16_t place : suspectNotice.parts) {
            if (place < 0 || static_cast<std::size_t>(place) >= notice.parts.size())
                continue;
            const wire::SuspectPartNotice &part = notice.parts[static_cast<std::size_t>(place)];
            suspect.parts.push_back({part.digest, part.ranWellBefore});
        }
        end.suspects.push_back(std::move(suspect));
    }
    return end;
}

} // namespace

wire::QuarantineNotices toNotices(const QuarantineMessage &message)
{
    wire::QuarantineNotices notices;
    for (const TargetEnd &end : message.ends)
        notices.ends.push_back(toNotice(end));
    for (const BarredRequest &request : message.barred) {
        wire::BarredNotice notice;
        notice.digest = request.digest;
        notice.leftMicros = toMicros(request.remaining);
        notice.ends = static_cast<std::int32_t>(request.ends);
        notice.software = request.software;
        notice.lastEndMicros = toMicros(request.lastEndAgo);
        notices.barred.push_back(std::move(notice));
    }
    notices.ranWell = message.safeRuns;
    for (const SoundPart &part : message.soundParts) {
        wire::SoundPartNotice notice;
        notice.digest = part.digest;
        notice.software = part.software;
        notice.beganMicros = toMicros(part.beganAgo);
        notices.soundParts.push_back(std::move(notice));
    }
    return notices;
}

QuarantineMessage fromNotices(const wire::QuarantineNotices &notices)
{
    QuarantineMessage message;
    for (const wire::TargetEndNotice &notice : notices.ends)
        message.ends.push_back(fromNotice(notice));
    for (const wire::BarredNotice &notice : notices.barred) {
        message.barred.push_back({notice.digest, toTime(notice.leftMicros),
                                  static_cast<std::size_t>(std::max(0, notice.ends)),
                                  notice.software, toTime(notice.lastEndMicros)});
    }
    message.safeRuns = notices.ranWell;
    for (const wire::SoundPartNotice &notice : notices.soundParts)
        message.soundParts.push_back({notice.digest, notice.software, toTime(notice.beganMicros)});
    return message;
}

} // namespace jaytrack
