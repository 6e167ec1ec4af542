// Checks how much memory is kept free for the runs of engines that leave.
#include "jaytrack/Routing/departurereserve.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace jaytrack;

namespace {

constexpr double capacity = 1'620'000; // 60 engines

struct ReserveCase
{
    char name[32];
    int departures;  // 3.3 s apart
    double part;     // of the capacity that leaves each time
    int millisSince; // the last departure
    bool expectsDepartures;
    double minShare;
    double maxShare;
};

} // namespace

// Guards against runs that find no memory when the next engines leave, because new generations took
// it in the seconds between, and against memory that stays unused when no engines leave any more.
ParameterizedTestParameters(departureReserve, memoryStaysFreeBetweenDepartures)
{
    static ReserveCase cases[] = {{"no departures", 0, 0.15, 0, true, 0, 0},
                                  {"first departure", 1, 0.1, 0, true, 0.11, 0.13},
                                  {"after the first", 1, 0.1, 1500, true, 0.01, 0.02},
                                  {"just after the sixth", 6, 0.15, 0, true, 0.2, 0.25},
                                  {"before the seventh", 6, 0.15, 3200, true, 0.04, 0.1},
                                  {"half a minute later", 6, 0.15, 30'000, true, 0, 0.005},
                                  {"capped", 6, 0.9, 0, true, 0.3, 0.3},
                                  {"expected part capped", 6, 0.9, 3200, true, 0.15, 0.15},
                                  {"capped, half a minute later", 6, 0.9, 30'000, true, 0, 0.03},
                                  {"off", 6, 0.15, 0, false, 0.15, 0.15},
                                  {"off, before the seventh", 6, 0.15, 3200, false, 0, 0}};
    return cr_make_param_array(ReserveCase, cases, std::size(cases));
}

ParameterizedTest(ReserveCase *param, departureReserve, memoryStaysFreeBetweenDepartures)
{
    ManualClock clock;
    DepartureReserveOptions options;
    options.expectsDepartures = param->expectsDepartures;
    DepartureReserve reserve(clock, options);
    for (int i = 0; i < param->departures; ++i) {
        clock.advance(std::chrono::milliseconds(3300));
        reserve.record("notes", param->part * capacity);
    }
    clock.advance(std::chrono::milliseconds(param->millisSince));
    const double share = reserve.share("notes", capacity);
    cr_assert(share >= param->minShare - 1e-9 && share <= param->maxShare + 1e-9, "%s: %.4f",
              param->name, share);
    cr_assert_eq(reserve.share("another", capacity), 0, "%s: another service", param->name);
    cr_assert_eq(reserve.share("notes", 0), 0, "%s: no engines left", param->name);
}
