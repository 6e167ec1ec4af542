#include "jaytrack/Peers/datagrampacer.h"

#include <criterion/criterion.h>

using namespace jaytrack;

// Symptom: most of a large fleet asks the store after each change of the configuration, though
// three readers passed it on. Events: 70 datagrams of 5 KB are sent within a millisecond. Cause:
// the link's queue holds a few dozen KB, and the rest is dropped.
Test(datagramPacer, largeOnesNeverFillASlowLink)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    DatagramPacer pacer(clock);
    int waiting = 70;
    double sentBytes = 0;
    for (int milli = 0; milli < 500; ++milli) {
        while (waiting > 0 && pacer.take(5'000)) {
            --waiting;
            sentBytes += 5'000;
        }
        const double linkBytes = 24'000 + milli * 1'250'000.0 / 1000; // 10 Mbit/s and its queue
        cr_assert(sentBytes <= linkBytes, "%f bytes after %d ms", sentBytes, milli);
        clock.advance(std::chrono::milliseconds(1));
    }
    cr_assert(waiting == 0, "%d still wait after half a second", waiting);
}

Test(datagramPacer, smallOnesLeaveAtOnce)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    DatagramPacer pacer(clock);
    while (pacer.take(5'000))
        continue;
    for (int i = 0; i < 1000; ++i)
        cr_assert(pacer.take(300));
    cr_assert_not(pacer.take(5'000));
    clock.advance(std::chrono::seconds(1));
    cr_assert(pacer.take(60'000), "larger than a burst, but not stuck for ever");
}
