#include "jaytrack/Quarantine/crashwatch.h"
#include "jaytrack/Support/metrics.h"

#include <asio.hpp>
#include <criterion/criterion.h>

#include <array>

using namespace jaytrack;

namespace {

class RecordingListener final : public QuarantineTransport, public CrashWatchListener
{
public:
    void broadcastQuarantine(const QuarantineMessage &) override {}
    void sendQuarantineToSample(const QuarantineMessage &) override {}
    void onRequestBarred(std::string_view digest) override { this->barred.emplace_back(digest); }

    std::vector<std::string> barred;
};

// An address that refuses connections. Its port is bound, so that no other process gets it.
class DeadAddress
{
public:
    std::string text() const
    {
        return "127.0.0.1:" + std::to_string(this->socket.local_endpoint().port());
    }

private:
    asio::io_context context;
    asio::ip::tcp::socket socket{this->context,
                                 asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
};

} // namespace

// Guards against a request crashing five targets before it is barred, where three should be enough.
// When the process stalled, the first end was recorded 30 ms late, after the request had been sent
// to the next target. The two ends then appeared to have a common cause and counted once; the log
// showed targets_ended=3 with five targets named.
Test(crashWatch, usesTimeOfLossForEnds)
{
    ManualClock clock;
    clock.advance(std::chrono::hours(1));
    asio::io_context loop;
    Metrics metrics;
    RecordingListener listener;
    CrashWatch watch(loop, clock, metrics, listener, listener);
    TimePoint sentAt = clock.now();
    const std::array<DeadAddress, 3> dead;
    for (std::size_t i = 0; i < dead.size(); ++i) {
        clock.advance(std::chrono::milliseconds(30));
        const RequestIdentity deadly{"deadly"};
        watch.recordUnansweredLoss(
                {"target-" + std::to_string(i), dead[i].text(), "svc/v1", deadly, sentAt});
        sentAt = clock.now();
    }
    clock.advance(std::chrono::milliseconds(30));
    loop.run_for(std::chrono::milliseconds(300));
    clock.advance(verdictDelay);
    watch.tick();
    cr_assert_eq(listener.barred.size(), 1);
    cr_assert(watch.isBarred("deadly"));
}
