#include "brittlefleet.h"

#include <algorithm>

namespace jaytrack::testing {

namespace {

using namespace std::chrono_literals;

const std::string service = "service";
constexpr int slots = 6;
constexpr std::size_t queueLength = 1; // of a brittle target, which lets few wait
constexpr Duration crashTime = 4s;
constexpr Duration latency = 2ms;
constexpr Duration maxLatency = 8ms;
constexpr Duration stepTime = 1ms;
constexpr Duration calmTime = 6s; // the instances discover each other and settle
constexpr Duration overloadTime = 20s;
constexpr double calmLoad = 0.4;
constexpr int stepsPerTick = 100;
constexpr int stepsPerExpiry = 10;

std::string nameOf(std::size_t index)
{
    return "instance-" + std::to_string(index);
}

std::string targetName(std::size_t index)
{
    return "target-" + std::to_string(index);
}

std::size_t indexOf(std::string_view name)
{
    return std::stoul(std::string(name.substr(name.rfind('-') + 1)));
}

} // namespace

class BrittleFleet::Node final : public LimitTransport
{
public:
    Node(BrittleFleet &owner, std::size_t number)
        : fleet(owner)
        , index(number)
        , control(owner.clock)
        , limits(owner.clock, nameOf(number), owner.plan.instances - 1, number, *this,
                 RefusalControl::permitOptions())
    {
    }

    void sendLimits(std::string_view instance, const LimitMessage &content) override
    {
        this->fleet.post(this->index, instance, content);
    }

    void broadcastLimits(const LimitMessage &content) override
    {
        for (std::size_t to = 0; to < this->fleet.plan.instances; ++to) {
            if (to != this->index)
                this->sendLimits(nameOf(to), content);
        }
    }

    void sendLimitsToSample(const LimitMessage &) override {}

    // Sends a request to some target that may be used now. A request without a permit tries one
    // more.
    void place(int attempts)
    {
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < this->fleet.targets.size(); ++i) {
            const bool isDown = this->fleet.clock.now() < this->fleet.targets[i].downUntil;
            const bool isHeld = this->fleet.plan.isHeeded &&
                                this->limits.remainingBackoff(targetName(i)) > Duration(0);
            if (!isDown && !isHeld)
                open.push_back(i);
        }
        if (open.empty() || attempts == 0)
            return;
        const std::size_t target = open[this->fleet.random() % open.size()];
        const auto decided = [this, target, attempts](const Permit &permit) {
            if (permit.granted)
                this->fleet.sendAfter(permit.wait, {this->index, target});
            else
                this->place(attempts - 1);
        };
        if (!this->fleet.plan.isHeeded || !this->limits.limitOf(targetName(target)))
            return decided({true, Duration(0), {}});
        if (const auto permit = this->limits.request(targetName(target), decided))
            decided(*permit);
    }

    void onServed(Duration took)
    {
        for (const std::string &target : this->control.recordServed(service, slots, took)) {
            const auto rate = this->control.correctedRate(service, this->limits.limitOf(target));
            if (rate)
                this->limits.imposeLimit(target, *rate);
        }
    }

    void onRefused(std::size_t target)
    {
        const std::string name = targetName(target);
        const std::optional<double> inForce = this->limits.limitOf(name);
        this->control.recordBrittle(name, this->fleet.plan.tolerated);
        const double rate = this->control.rateAfterRefusal(name, service, inForce);
        if (!inForce || rate < *inForce)
            this->limits.imposeLimit(name, rate);
    }

    BrittleFleet &fleet;
    std::size_t index;
    RefusalControl control;
    TargetLimits limits;
};

BrittleFleet::BrittleFleet(const BrittleFleetPlan &fleetPlan)
    : plan(fleetPlan)
    , targets(fleetPlan.targets)
{
    this->clock.advance(1h);
    std::vector<std::string> names;
    for (std::size_t i = 0; i < this->plan.instances; ++i) {
        this->nodes.push_back(std::make_unique<Node>(*this, i));
        names.push_back(nameOf(i));
    }
    for (const auto &node : this->nodes) {
        std::vector<std::string> others = names;
        std::erase(others, nameOf(node->index));
        node->limits.setInstances(others);
    }
    this->overloadedFrom = this->clock.now() + calmTime;
}

BrittleFleet::~BrittleFleet() = default;

double BrittleFleet::capacity() const
{
    return static_cast<double>(this->plan.targets * slots) /
           std::chrono::duration<double>(this->plan.workTime).count();
}

void BrittleFleet::post(std::size_t from, std::string_view to, const LimitMessage &content)
{
    if (std::bernoulli_distribution(this->plan.lossRate)(this->random))
        return;
    std::uniform_int_distribution<Duration::rep> delay(latency.count(), maxLatency.count());
    const TimePoint due = this->clock.now() + Duration(delay(this->random));
    const auto after = std::upper_bound(
            this->messages.begin(), this->messages.end(), due,
            [](TimePoint moment, const InFlightMessage &one) { return moment < one.due; });
    this->messages.insert(after, {due, from, indexOf(to), content});
}

void BrittleFleet::deliver()
{
    std::vector<InFlightMessage> due;
    while (!this->messages.empty() && this->messages.front().due <= this->clock.now()) {
        due.push_back(std::move(this->messages.front()));
        this->messages.pop_front();
    }
    for (const InFlightMessage &message : due)
        this->nodes[message.to]->limits.onMessage(nameOf(message.from), message.content);
}

void BrittleFleet::arrive(double load)
{
    const double mean = load * this->capacity() * std::chrono::duration<double>(stepTime).count();
    std::poisson_distribution<int> count(mean);
    for (int i = count(this->random); i > 0; --i)
        this->nodes[this->random() % this->nodes.size()]->place(2);
}

void BrittleFleet::sendAfter(Duration wait, const Request &request)
{
    this->delayedRequests.emplace(this->clock.now() + wait, request);
    this->sendDelayed();
}

void BrittleFleet::sendDelayed()
{
    while (!this->delayedRequests.empty() &&
           this->delayedRequests.begin()->first <= this->clock.now()) {
        const Request request = this->delayedRequests.begin()->second;
        this->delayedRequests.erase(this->delayedRequests.begin());
        this->onSent(*this->nodes[request.from], request.target);
    }
}

void BrittleFleet::onSent(Node &node, std::size_t index)
{
    Target &target = this->targets[index];
    const TimePoint now = this->clock.now();
    if (now < target.downUntil)
        return;
    std::erase_if(target.busyUntil, [now](TimePoint until) { return until <= now; });
    if (target.busyUntil.size() >= slots + queueLength)
        return this->onRefused(node, index);
    const bool waits = target.busyUntil.size() >= slots;
    const Duration took = this->plan.workTime * (waits ? 2 : 1);
    target.busyUntil.push_back(now + took);
    node.onServed(took);
    if (now >= this->overloadedFrom)
        ++target.served;
}

void BrittleFleet::onRefused(Node &node, std::size_t index)
{
    Target &target = this->targets[index];
    const TimePoint now = this->clock.now();
    while (!target.refusals.empty() && now - target.refusals.front() >= 1s)
        target.refusals.pop_front();
    target.refusals.push_back(now);
    node.onRefused(index);
    if (static_cast<double>(target.refusals.size()) <= this->plan.tolerated)
        return;
    ++target.crashes;
    target.refusals.clear();
    target.busyUntil.clear();
    target.downUntil = now + crashTime;
}

void BrittleFleet::run()
{
    const TimePoint end = this->overloadedFrom + overloadTime;
    for (int steps = 0; this->clock.now() < end; ++steps) {
        this->clock.advance(stepTime);
        this->deliver();
        this->sendDelayed();
        for (const auto &node : this->nodes) {
            const bool isExpiring = steps % stepsPerExpiry == 0 && node->limits.nextDeadline();
            if (isExpiring || steps % stepsPerTick == 0)
                node->limits.tick();
        }
        this->arrive(this->clock.now() < this->overloadedFrom ? calmLoad : this->plan.load);
    }
}

std::size_t BrittleFleet::crashes() const
{
    std::size_t sum = 0;
    for (const Target &target : this->targets)
        sum += target.crashes;
    return sum;
}

double BrittleFleet::servedShare() const
{
    double served = 0;
    for (const Target &target : this->targets)
        served += static_cast<double>(target.served);
    return served / (std::min(1.0, this->plan.load) * this->capacity() *
                     std::chrono::duration<double>(overloadTime).count());
}

} // namespace jaytrack::testing
