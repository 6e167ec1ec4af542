#include "jaytrack/Quarantine/quarantinemessage.h"

#include "peer_types.h"

#include <algorithm>

namespace jaytrack {

namespace {

// Longer than any bar; a larger number would overflow as nanoseconds.
constexpr std::chrono::microseconds longestTold = std::chrono::hours(24);

std::int64_t toMicros(Duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

Duration toTime(std::int64_t micros)
{
    return std::chrono::microseconds(std::clamp<std::int64_t>(micros, 0, longestTold.count()));
}

} // namespace

wire::QuarantineNotices toNotices(const QuarantineMessage &news)
{
    wire::QuarantineNotices notices;
    for (const TargetEnd &end : news.ends) {
        wire::TargetEndNotice notice;
        notice.target = end.target;
        notice.agoMicros = toMicros(end.ago);
        for (const Suspect &suspect : end.suspects) {
            wire::SuspectNotice told;
            told.digest = suspect.digest;
            told.heldMicros = toMicros(suspect.held);
            notice.suspects.push_back(std::move(told));
        }
        notices.ends.push_back(std::move(notice));
    }
    for (const BarredRequest &request : news.barred) {
        wire::BarredNotice notice;
        notice.digest = request.digest;
        notice.leftMicros = toMicros(request.left);
        notice.ends = static_cast<std::int32_t>(request.ends);
        notices.barred.push_back(std::move(notice));
    }
    notices.ranWell = news.ranWell;
    return notices;
}

QuarantineMessage fromNotices(const wire::QuarantineNotices &notices)
{
    QuarantineMessage news;
    for (const wire::TargetEndNotice &notice : notices.ends) {
        TargetEnd end{notice.target, {}, toTime(notice.agoMicros)};
        for (const wire::SuspectNotice &told : notice.suspects)
            end.suspects.push_back({told.digest, toTime(told.heldMicros)});
        news.ends.push_back(std::move(end));
    }
    for (const wire::BarredNotice &notice : notices.barred) {
        news.barred.push_back({notice.digest, toTime(notice.leftMicros),
                               static_cast<std::size_t>(std::max(0, notice.ends))});
    }
    news.ranWell = notices.ranWell;
    return news;
}

} // namespace jaytrack
