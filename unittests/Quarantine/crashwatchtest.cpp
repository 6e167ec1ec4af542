#include "jaytrack/Quarantine/crashwatch.h"
#include "jaytrack/Support/metrics.h"

#include <asio.hpp>
#include <criterion/criterion.h>

using namespace jaytrack;

namespace {

class Recorder final : public QuarantineTransport, public CrashWatchListener
{
public:
    void broadcastQuarantine(const QuarantineMessage &) override {}
    void sendQuarantineToSample(const QuarantineMessage &) override {}
    void onRequestBarred(std::string_view digest) override { this->barred.emplace_back(digest); }

    std::vector<std::string> barred;
};

// An address at which nobody listens.
std::string deadAddress()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor free(context, {asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(free.local_endpoint().port());
}

} // namespace

// Five targets end under a request before it is known, where three are enough. The process was held
// up, so the first end was noted 30 ms after it had happened, when the request had been sent to the
// next target for long: the two ends seemed to have one cause and counted once. The log shows
// targets_ended=3 with five targets named.
Test(crashWatch, endsAreDatedByTheLossAndNotByTheNoting)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    asio::io_context loop;
    Metrics metrics;
    Recorder recorder;
    CrashWatch watch(loop, clock, metrics, recorder, recorder);
    TimePoint sentAt = clock.now();
    for (const char *target : {"a", "b", "c"}) {
        clock.advance(std::chrono::milliseconds(30));
        watch.recordUnansweredLoss(target, deadAddress(), "deadly", sentAt);
        sentAt = clock.now();
    }
    clock.advance(std::chrono::milliseconds(30));
    loop.run_for(std::chrono::milliseconds(300));
    clock.advance(verdictDelay);
    watch.tick();
    cr_assert_eq(recorder.barred.size(), 1);
    cr_assert(watch.isBarred("deadly"));
}
