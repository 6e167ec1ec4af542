#include "jaytrack/Limits/limitmessage.h"

#include "peer_types.h"

#include <algorithm>
#include <cmath>

namespace jaytrack {

namespace {

// Longer than any word is kept; a larger number would overflow as nanoseconds.
constexpr std::chrono::microseconds longestTold = std::chrono::hours(24);

constexpr std::int64_t neverEnded = -1;

std::int64_t toMicros(Duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

Duration toTime(std::int64_t micros)
{
    return std::chrono::microseconds(std::clamp<std::int64_t>(micros, 0, longestTold.count()));
}

wire::LimitWordNotice toNotice(const NamedLimits::Word &word)
{
    wire::LimitWordNotice notice;
    notice.target = word.target;
    notice.perSecond = word.perSecond;
    notice.namedAgoMicros = toMicros(word.namedAgo);
    notice.endedAgoMicros = word.endedAgo ? toMicros(*word.endedAgo) : neverEnded;
    return notice;
}

NamedLimits::Word toWord(const wire::LimitWordNotice &notice)
{
    NamedLimits::Word word;
    word.target = notice.target;
    word.perSecond = std::isfinite(notice.perSecond) ? std::max(0.0, notice.perSecond) : 0;
    word.namedAgo = toTime(notice.namedAgoMicros);
    if (notice.endedAgoMicros >= 0)
        word.endedAgo = toTime(notice.endedAgoMicros);
    return word;
}

} // namespace

wire::LimitNotices toNotices(const LimitMessage &news)
{
    wire::LimitNotices notices;
    for (const NamedLimits::Word &word : news.words)
        notices.words.push_back(toNotice(word));
    for (const PermitAsk &ask : news.asks) {
        wire::PermitAskNotice notice;
        notice.serial = ask.serial;
        notice.word = toNotice(ask.word);
        notice.counted = ask.counted;
        notices.asks.push_back(std::move(notice));
    }
    for (const PermitAnswer &answer : news.answers) {
        wire::PermitAnswerNotice notice;
        notice.serial = answer.serial;
        notice.granted = answer.granted;
        notice.waitMicros = toMicros(answer.wait);
        notice.keeps = answer.keeps;
        notice.word = toNotice(answer.word);
        notices.answers.push_back(std::move(notice));
    }
    return notices;
}

LimitMessage fromNotices(const wire::LimitNotices &notices)
{
    LimitMessage news;
    for (const wire::LimitWordNotice &notice : notices.words)
        news.words.push_back(toWord(notice));
    for (const wire::PermitAskNotice &notice : notices.asks)
        news.asks.push_back({notice.serial, toWord(notice.word), notice.counted});
    for (const wire::PermitAnswerNotice &notice : notices.answers)
        news.answers.push_back({notice.serial, notice.granted, toTime(notice.waitMicros),
                                notice.keeps, toWord(notice.word)});
    return news;
}

} // namespace jaytrack
