// Tests that limit messages survive conversion to and from the wire format, and that invalid values
// are clamped.
#include "jaytrack/Limits/limitmessage.h"

#include "peer_types.h"

#include <criterion/criterion.h>

#include <limits>

using namespace jaytrack;
using namespace std::chrono_literals;

Test(limitMessage, roundTripsThroughWireFormat)
{
    LimitMessage message;
    message.states.push_back({"t", 2.5, 40ms, std::nullopt});
    message.states.push_back({"u", 0.1, 40ms, 7ms});
    message.requests.push_back({7, {"t", 2.5, 40ms, std::nullopt}, true});
    message.answers.push_back({9, true, 300ms, false, {"t", 2.5, 40ms, std::nullopt}});
    const LimitMessage read = fromNotices(toNotices(message));
    cr_assert_eq(read.states.size(), 2);
    cr_expect_eq(read.states[0].target, std::string("t"));
    cr_expect_float_eq(read.states[0].perSecond, 2.5, 1e-9);
    cr_expect(read.states[0].namedAgo == 40ms);
    cr_expect_not(read.states[0].endedAgo.has_value());
    cr_expect(read.states[1].endedAgo == Duration(7ms));
    cr_expect_eq(read.requests[0].serial, 7);
    cr_expect(read.requests[0].counted);
    cr_expect_eq(read.answers[0].serial, 9);
    cr_expect(read.answers[0].granted);
    cr_expect(read.answers[0].wait == 300ms);
    cr_expect_not(read.answers[0].isOwnerReady);
    cr_expect(fromNotices(wire::LimitNotices()).isEmpty());
}

// Guards against overflow of times or rates by invalid values in another instance's message.
Test(limitMessage, clampsInvalidValues)
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
    cr_expect_float_eq(read.states[0].perSecond, 0, 1e-9);
    cr_expect(read.states[0].namedAgo == 24h);
    cr_expect(read.states[0].endedAgo == Duration(24h));
    cr_expect_float_eq(read.states[1].perSecond, 0, 1e-9);
    cr_expect(read.states[1].namedAgo == Duration(0));
    cr_expect_not(read.states[1].endedAgo.has_value());
}
