#include "entryfixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <list>
#include <random>
#include <unistd.h>

namespace jaytrack::testing {

using nlohmann::json;

namespace {

// An empty file is never reloaded, but makes the instance listen to signals.
constexpr const char *emptySettings = "/dev/null";

} // namespace

TimePoint HeldClock::now() const
{
    std::unique_lock lock(this->mutex);
    this->held = this->holding;
    this->changed.notify_all();
    this->changed.wait(lock, [this] { return !this->holding; });
    this->held = false;
    return this->clock.now();
}

void HeldClock::hold()
{
    std::unique_lock lock(this->mutex);
    this->holding = true;
    this->changed.wait(lock, [this] { return this->held; });
}

void HeldClock::release()
{
    const std::lock_guard lock(this->mutex);
    this->holding = false;
    this->changed.notify_all();
}

std::string fleetKeyOfTest()
{
    return "fleet-of-the-test-" + std::to_string(getpid());
}

std::string freeDatagramAddress()
{
    // Below the ports that the system hands out, which others would take in the meantime.
    std::uniform_int_distribution<std::uint16_t> draw(10'000, 30'000);
    std::random_device random;
    static asio::io_context context;
    // A port that was drawn is kept from other draws, of this process and of others, until the
    // process ends: between the draw and its use nothing is bound to the address itself.
    static std::list<asio::ip::udp::socket> reservations;
    const asio::ip::address here = asio::ip::make_address("127.0.0.1");
    const asio::ip::address reserving = asio::ip::make_address("127.1.0.1");
    for (;;) {
        const std::uint16_t port = draw(random);
        asio::ip::udp::socket reservation(context, asio::ip::udp::v4());
        asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
        asio::ip::tcp::socket stream(context, asio::ip::tcp::v4());
        asio::error_code failure;
        reservation.bind({reserving, port}, failure);
        if (!failure)
            datagrams.bind({here, port}, failure);
        if (!failure)
            stream.bind({here, port}, failure);
        if (failure)
            continue;
        reservations.push_back(std::move(reservation));
        return "127.0.0.1:" + std::to_string(port);
    }
}

FixtureOptions memberOf(const std::string &name, const std::string &own, const std::string &other)
{
    FixtureOptions options;
    options.name = name;
    options.peers = own;
    options.peerSeeds = {other};
    return options;
}

bool isReport(const SeenRequest &request)
{
    return request.head.path() == "/jaytrack/report";
}

std::size_t workSeen(const ScriptedServer &target)
{
    std::size_t count = 0;
    for (const SeenRequest &request : target.seen())
        count += isReport(request) ? 0 : 1;
    return count;
}

Answer goodAnswer(const SeenRequest &request)
{
    if (isReport(request))
        return wholeAnswer(200, "", "{}");
    return wholeAnswer(200, "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n", "good");
}

EntryFixture::EntryFixture(const std::vector<RouteSpec> &routes, FixtureOptions given)
    : options(std::move(given))
{
    this->publish(configurationJson(1, routes));
    for (const auto &[key, value] : this->options.items)
        this->store.put(key, value);
    this->store.failWith(this->options.storeStatus);
    EntrySettings settings;
    settings.name = this->options.name;
    settings.dataCentre = "dc";
    settings.callers = "127.0.0.1:0";
    settings.readiness = "127.0.0.1:0";
    settings.store = this->store.address();
    settings.firstStart = this->options.firstStart;
    settings.regions = this->options.regions;
    settings.drainGrace = this->options.drainGrace;
    settings.peers = this->options.peers;
    settings.peerSeeds = this->options.peerSeeds;
    settings.peerKeys = {fleetKeyOfTest()};
    const Clock &time = this->options.clock != nullptr ? *this->options.clock : this->clock;
    this->instance = std::make_unique<EntryInstance>(settings, time, *this->dialect);
    cr_assert(this->instance->open().has_value());
    this->callerPort = this->instance->callerPort();
    this->thread = std::thread(
            [this] { this->instance->run(this->options.takesSignals ? emptySettings : ""); });
}

EntryFixture::~EntryFixture()
{
    if (!this->instance)
        return;
    this->instance->stopNow();
    this->thread.join();
}

void EntryFixture::orderStop()
{
    cr_assert(this->options.takesSignals);
    ::kill(::getpid(), SIGTERM);
}

void EntryFixture::awaitEnd()
{
    this->thread.join();
    this->instance.reset();
}

void EntryFixture::publish(const json &configuration)
{
    this->store.put("op/config", configuration.dump());
}

// The instance asks each engine that it knows for its load, so the first such question shows that
// the target is known; how long that takes depends on when the list was read last.
void EntryFixture::list(const std::string &id, const ScriptedServer &target)
{
    this->list(id, target, targetJson(target.address()));
}

// That the instance is ready tells nothing of a target that was listed after it had started.
void EntryFixture::list(const std::string &id, const ScriptedServer &target,
                        const std::string &entry)
{
    this->store.put("servers/" + id, entry);
    cr_assert(this->becomesReady());
    const auto asked = [&target] {
        const auto seen = target.seen();
        return std::any_of(seen.begin(), seen.end(), isReport);
    };
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!asked() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    cr_assert(asked(), "%s was never asked for its load", id.c_str());
}

bool EntryFixture::becomesReady(std::chrono::milliseconds within)
{
    const auto end = std::chrono::steady_clock::now() + within;
    while (std::chrono::steady_clock::now() < end) {
        const CallerView view =
                callOnce(this->instance->readinessPort(),
                         "GET /jaytrack/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        if (view.bytes.starts_with("HTTP/1.1 200"))
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

} // namespace jaytrack::testing
