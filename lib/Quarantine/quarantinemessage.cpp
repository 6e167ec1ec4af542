#include "jaytrack/Quarantine/quarantinemessage.h"

#include "peer_types.h"

#include <algorithm>

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

} // namespace

wire::QuarantineNotices toNotices(const QuarantineMessage &message)
{
    wire::QuarantineNotices notices;
    for (const TargetEnd &end : message.ends) {
        wire::TargetEndNotice notice;
        notice.target = end.target;
        notice.agoMicros = toMicros(end.ago);
        for (const Suspect &suspect : end.suspects) {
            wire::SuspectNotice suspectNotice;
            suspectNotice.digest = suspect.digest;
            suspectNotice.heldMicros = toMicros(suspect.timeAtTarget);
            notice.suspects.push_back(std::move(suspectNotice));
        }
        notices.ends.push_back(std::move(notice));
    }
    for (const BarredRequest &request : message.barred) {
        wire::BarredNotice notice;
        notice.digest = request.digest;
        notice.leftMicros = toMicros(request.remaining);
        notice.ends = static_cast<std::int32_t>(request.ends);
        notices.barred.push_back(std::move(notice));
    }
    notices.ranWell = message.safeRuns;
    return notices;
}

QuarantineMessage fromNotices(const wire::QuarantineNotices &notices)
{
    QuarantineMessage message;
    for (const wire::TargetEndNotice &notice : notices.ends) {
        TargetEnd end{notice.target, {}, toTime(notice.agoMicros)};
        for (const wire::SuspectNotice &suspectNotice : notice.suspects)
            end.suspects.push_back({suspectNotice.digest, toTime(suspectNotice.heldMicros)});
        message.ends.push_back(std::move(end));
    }
    for (const wire::BarredNotice &notice : notices.barred) {
        message.barred.push_back({notice.digest, toTime(notice.leftMicros),
                                  static_cast<std::size_t>(std::max(0, notice.ends))});
    }
    message.safeRuns = notices.ranWell;
    return message;
}

} // namespace jaytrack
