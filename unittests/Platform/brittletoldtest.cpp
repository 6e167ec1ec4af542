// Targets that announce in their answers that they crash if they have to refuse many requests.
#include "entryfixture.h"
#include "limitedtarget.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

using namespace jaytrack;
using namespace jaytrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t tolerated = 5; // refusals within a second
constexpr std::size_t places = 4;
constexpr std::chrono::milliseconds workTime{100};
const std::string brittleHeader = "Server-Brittle: 5\r\n";

// Instances know each other after this.
constexpr std::chrono::milliseconds acquaintance{3200};

// Serves so many requests at a time and refuses the others.
class BrittleTarget
{
public:
    BrittleTarget()
        : server([this](const SeenRequest &request) { return this->answer(request); })
    {
    }

    std::string address() const { return this->server.address(); }

    std::size_t mostRefusalsInASecond() const
    {
        const std::lock_guard lock(this->mutex);
        std::size_t most = 0;
        for (auto first = this->refusals.begin(); first != this->refusals.end(); ++first) {
            const auto end = std::lower_bound(first, this->refusals.end(), *first + 1s);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    std::size_t served() const
    {
        const std::lock_guard lock(this->mutex);
        return this->servedCount;
    }

private:
    Answer answer(const SeenRequest &request)
    {
        if (isReport(request))
            return wholeAnswer(200, brittleHeader, "{}");
        const std::lock_guard lock(this->mutex);
        const auto now = std::chrono::steady_clock::now();
        std::erase_if(this->busyUntil, [now](auto until) { return until <= now; });
        if (this->busyUntil.size() >= places) {
            this->refusals.push_back(now);
            return wholeAnswer(503, brittleHeader + "X-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n",
                               "");
        }
        this->busyUntil.push_back(now + workTime);
        ++this->servedCount;
        Answer good = wholeAnswer(200, brittleHeader + "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n",
                                  "good");
        good.front().after = workTime;
        return good;
    }

    mutable std::mutex mutex;
    std::vector<std::chrono::steady_clock::time_point> busyUntil;
    std::deque<std::chrono::steady_clock::time_point> refusals;
    std::size_t servedCount = 0;
    ScriptedServer server; // last, since its thread uses the others
};

} // namespace

// Guards against instances whose refused requests make a brittle target crash, and against sparing
// it so much that it serves hardly anybody.
Test(brittleTold, fleetKeepsItsRefusalsLow)
{
    const std::string addresses[] = {freeDatagramAddress(), freeDatagramAddress()};
    RouteSpec route;
    route.type = "unsafe";
    BrittleTarget target;
    EntryFixture first({route}, memberOf("first", addresses[0], addresses[1]));
    EntryFixture second({route}, memberOf("second", addresses[1], addresses[0]));
    for (EntryFixture *entry : {&first, &second})
        entry->store.put("servers/i-1", targetJson(target.address()));
    cr_assert(first.becomesReady() && second.becomesReady());
    std::this_thread::sleep_for(acquaintance);
    std::atomic<int> wrong{0};
    const auto ask = [&wrong](const EntryFixture &entry) {
        const std::string answer = callOnce(entry.port(), requestText({})).bytes;
        const bool good = answer.starts_with("HTTP/1.1 200");
        const bool refused = answer.starts_with("HTTP/1.1 503") &&
                             answer.find("Retry-After") != std::string::npos;
        if (!good && !refused)
            ++wrong;
    };
    {
        const Pressure calm(10, 1, [&] { ask(first); });
        std::this_thread::sleep_for(3s);
        std::vector<std::unique_ptr<Pressure>> rising;
        for (int i = 0; i < 12; ++i) {
            const EntryFixture &entry = i % 2 == 0 ? first : second;
            rising.push_back(std::make_unique<Pressure>(8, 1, [&ask, &entry] { ask(entry); }));
            std::this_thread::sleep_for(70ms);
        }
        std::this_thread::sleep_for(6s);
    }
    cr_expect(wrong == 0);
    cr_expect(target.mostRefusalsInASecond() <= tolerated, "%zu refusals in a second",
              target.mostRefusalsInASecond());
    cr_expect(target.served() >= 60, "%zu served", target.served());
}
