#include "jaytrack/Limits/limitmessage.h"

#include "peer_types.h"

#include <algorithm>
#include <cmath>

namespace jaytrack {

namespace {

// Longer than the retention time of any record. A larger number of microseconds would overflow when
// converted to nanoseconds.
constexpr std::chrono::microseconds maxAge = std::chrono::hours(24);

constexpr std::int64_t notEnded = -1;

std::int64_t toMicros(Duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

Duration toTime(std::int64_t micros)
{
    return std::chrono::microseconds(std::clamp<std::int64_t>(micros, 0, maxAge.count()));
}

wire::LimitWordNotice toNotice(const AdvertisedLimits::State &state)
{
    wire::LimitWordNotice notice;
    notice.target = state.target;
    notice.perSecond = state.perSecond;
    notice.namedAgoMicros = toMicros(state.namedAgo);
    notice.endedAgoMicros = state.endedAgo ? toMicros(*state.endedAgo) : notEnded;
    return notice;
}

AdvertisedLimits::State toState(const wire::LimitWordNotice &notice)
{
    AdvertisedLimits::State state;
    state.target = notice.target;
    state.perSecond = std::isfinite(notice.perSecond) ? std::max(0.0, notice.perSecond) : 0;
    state.namedAgo = toTime(notice.namedAgoMicros);
    if (notice.endedAgoMicros >= 0)
        state.endedAgo = toTime(notice.endedAgoMicros);
    return state;
}

} // namespace

wire::LimitNotices toNotices(const LimitMessage &message)
{
    wire::LimitNotices notices;
    for (const AdvertisedLimits::State &state : message.states)
        notices.words.push_back(toNotice(state));
    for (const PermitRequest &request : message.requests) {
        wire::PermitAskNotice notice;
        notice.serial = request.serial;
        notice.word = toNotice(request.state);
        notice.counted = request.counted;
        notices.asks.push_back(std::move(notice));
    }
    for (const PermitAnswer &answer : message.answers) {
        wire::PermitAnswerNotice notice;
        notice.serial = answer.serial;
        notice.granted = answer.granted;
        notice.waitMicros = toMicros(answer.wait);
        notice.keeps = answer.isOwnerReady;
        notice.word = toNotice(answer.state);
        notices.answers.push_back(std::move(notice));
    }
    return notices;
}

LimitMessage fromNotices(const wire::LimitNotices &notices)
{
    LimitMessage message;
    for (const wire::LimitWordNotice &notice : notices.words)
        message.states.push_back(toState(notice));
    for (const wire::PermitAskNotice &notice : notices.asks)
        message.requests.push_back({notice.serial, toState(notice.word), notice.counted});
    for (const wire::PermitAnswerNotice &notice : notices.answers)
        message.answers.push_back({notice.serial, notice.granted, toTime(notice.waitMicros),
                                   notice.keeps, toState(notice.word)});
    return message;
}

} // namespace jaytrack
