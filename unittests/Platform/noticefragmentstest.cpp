#include "jaytrack/Peers/noticefragments.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <random>

using namespace jaytrack;

namespace {

constexpr std::size_t maxFragmentBytes = 1000;

std::string randomBytes(std::size_t size)
{
    std::mt19937 random(7);
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i)
        bytes += static_cast<char>(random());
    return bytes;
}

struct BadFragment
{
    char name[24];
    std::int32_t index;
    std::int32_t count;
    std::int64_t plainSize;
};

BadFragment badFragments[] = {{"index too large", 2, 2, 100},  {"negative index", -1, 2, 100},
                              {"no fragments", 0, 0, 100},     {"negative count", 0, -5, 100},
                              {"too many", 0, 100'000, 100},   {"negative size", 0, 1, -1},
                              {"too large", 0, 1, 1LL << 40U}, {"not compressed", 0, 1, 100}};

} // namespace

// Guards against a configuration that is not passed on because it is larger than a datagram, or
// that is joined wrongly because its parts arrive in another order, twice, or beside those of
// another.
Test(noticeFragments, joinsInAnyOrder)
{
    ManualClock clock;
    for (const std::size_t size : {0U, 10U, 999U, 1000U, 30'000U}) {
        FragmentJoiner joiner(clock);
        const std::string bytes = randomBytes(size);
        std::vector<NoticeFragment> fragments = fragmentsOf(bytes, 1, maxFragmentBytes);
        std::vector<NoticeFragment> all = fragments;
        all.insert(all.end(), fragments.begin(), fragments.end() - 1);
        std::mt19937 random(3);
        std::shuffle(all.begin(), all.end() - 1, random);
        const std::vector<NoticeFragment> others =
                fragmentsOf(std::string(5000, 'x'), 1, maxFragmentBytes);
        int joined = 0;
        for (const NoticeFragment &fragment : all) {
            cr_assert_leq(fragment.bytes.size(), maxFragmentBytes);
            joiner.add("another", others.front());
            const auto whole = joiner.add("one", fragment);
            joined += whole ? 1 : 0;
            cr_assert(!whole || *whole == bytes, "%zu bytes", size);
        }
        cr_assert_geq(joined, 1, "%zu bytes", size);
    }
}

// Guards against an instance whose memory fills with batches of which a fragment was lost.
Test(noticeFragments, dropsWhatStaysIncomplete)
{
    ManualClock clock;
    FragmentJoinerOptions options;
    options.maxKeptBytes = 50'000;
    FragmentJoiner joiner(clock, options);
    const std::string bytes = randomBytes(5000);
    for (std::int64_t batch = 0; batch < 1000; ++batch) {
        std::vector<NoticeFragment> fragments = fragmentsOf(bytes, batch, maxFragmentBytes);
        fragments.pop_back();
        for (const NoticeFragment &fragment : fragments)
            cr_assert_not(joiner.add("one", fragment));
        cr_assert_leq(joiner.keptBytes(), options.maxKeptBytes);
    }
    clock.advance(options.retention + std::chrono::milliseconds(1));
    const std::vector<NoticeFragment> whole = fragmentsOf("whole", 5000, maxFragmentBytes);
    cr_assert(joiner.add("one", whole.front()) == std::optional<std::string>("whole"));
    cr_assert_eq(joiner.keptBytes(), 0);
}

ParameterizedTestParameters(noticeFragments, badFragmentsCostOnlyThemselves)
{
    return cr_make_param_array(BadFragment, badFragments, std::size(badFragments));
}

// Guards against a malformed fragment that ends the process or makes it allocate without bound.
ParameterizedTest(BadFragment *bad, noticeFragments, badFragmentsCostOnlyThemselves)
{
    ManualClock clock;
    FragmentJoiner joiner(clock);
    const NoticeFragment fragment{7, bad->index, bad->count, bad->plainSize, "bytes"};
    cr_assert_not(joiner.add("one", fragment), "%s", bad->name);
    const std::vector<NoticeFragment> good = fragmentsOf("good", 8, maxFragmentBytes);
    cr_assert(joiner.add("one", good.front()) == std::optional<std::string>("good"));
}

// Guards against parts of two batches that are joined because a sender gave them one number.
Test(noticeFragments, partsOfDifferentSizesAreNotJoined)
{
    ManualClock clock;
    FragmentJoiner joiner(clock);
    const std::vector<NoticeFragment> first = fragmentsOf(randomBytes(1500), 1, maxFragmentBytes);
    const std::vector<NoticeFragment> second = fragmentsOf(randomBytes(1600), 1, maxFragmentBytes);
    cr_assert_not(joiner.add("one", first.front()));
    cr_assert_not(joiner.add("one", second.back()));
    cr_assert(joiner.add("one", first.back()));
}
