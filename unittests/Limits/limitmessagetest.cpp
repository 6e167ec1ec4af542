// What instances tell each other of limits survives the wire, and nonsense is cut to the bounds.
#include "jaytrack/Limits/limitmessage.h"

#include "peer_types.h"

#include <criterion/criterion.h>

#include <limits>

using namespace jaytrack;
using namespace std::chrono_literals;

Test(limitNews, survivesTheWire)
{
    LimitMessage news;
    news.words.push_back({"t", 2.5, 40ms, std::nullopt});
    news.words.push_back({"u", 0.1, 40ms, 7ms});
    news.asks.push_back({7, {"t", 2.5, 40ms, std::nullopt}, true});
    news.answers.push_back({9, true, 300ms, false, {"t", 2.5, 40ms, std::nullopt}});
    const LimitMessage read = fromNotices(toNotices(news));
    cr_assert_eq(read.words.size(), 2);
    cr_expect_eq(read.words[0].target, std::string("t"));
    cr_expect_float_eq(read.words[0].perSecond, 2.5, 1e-9);
    cr_expect(read.words[0].namedAgo == 40ms);
    cr_expect_not(read.words[0].endedAgo.has_value());
    cr_expect(read.words[1].endedAgo == Duration(7ms));
    cr_expect_eq(read.asks[0].serial, 7);
    cr_expect(read.asks[0].counted);
    cr_expect_eq(read.answers[0].serial, 9);
    cr_expect(read.answers[0].granted);
    cr_expect(read.answers[0].wait == 300ms);
    cr_expect_not(read.answers[0].keeps);
    cr_expect(fromNotices(wire::LimitNotices()).isEmpty());
}

// Guards against another instance's nonsense overflowing times or rates.
Test(limitNews, nonsenseIsCutToTheBounds)
{
    wire::LimitNotices notices;
    wire::LimitWordNotice word;
    word.target = "t";
    word.perSecond = std::numeric_limits<double>::infinity();
    word.namedAgoMicros = std::numeric_limits<std::int64_t>::max();
    word.endedAgoMicros = std::numeric_limits<std::int64_t>::max();
    notices.words.push_back(word);
    word.perSecond = -4;
    word.namedAgoMicros = std::numeric_limits<std::int64_t>::min();
    word.endedAgoMicros = -1;
    notices.words.push_back(word);
    const LimitMessage read = fromNotices(notices);
    cr_expect_float_eq(read.words[0].perSecond, 0, 1e-9);
    cr_expect(read.words[0].namedAgo == 24h);
    cr_expect(read.words[0].endedAgo == Duration(24h));
    cr_expect_float_eq(read.words[1].perSecond, 0, 1e-9);
    cr_expect(read.words[1].namedAgo == Duration(0));
    cr_expect_not(read.words[1].endedAgo.has_value());
}
