#include "limitfleet.h"

#include <algorithm>

namespace jaytrack::testing {

namespace {

using namespace std::chrono_literals;

const std::string target = "limited-target";

constexpr std::chrono::milliseconds stepTime{5};
constexpr std::chrono::seconds warmUpTime{5}; // for the instances to discover each other
constexpr std::chrono::seconds runTime{24};   // after the limit is first advertised
constexpr std::chrono::seconds window{4};
constexpr std::chrono::milliseconds answerDelay{10}; // of the target
constexpr std::chrono::milliseconds latency{5};
constexpr std::chrono::milliseconds maxLatency{40}; // with LimitFault::Lossy
constexpr double lossRate = 0.05;
constexpr std::chrono::milliseconds tickInterval{100};
// Delays until other instances see that an instance has started or stopped.
constexpr std::chrono::milliseconds discoveryDelay{100};
constexpr std::chrono::milliseconds serviceDelay{500};
constexpr std::chrono::seconds failureDetectionDelay{2};
constexpr int sampleSize = 3;

std::string nameOf(std::size_t index)
{
    return "instance-" + std::to_string(index);
}

std::size_t indexOf(const std::string &name)
{
    return std::stoul(name.substr(name.rfind('-') + 1));
}

int steps(std::chrono::milliseconds time)
{
    return static_cast<int>(time / stepTime);
}

} // namespace

class LimitFleet::Node final : public LimitTransport
{
public:
    Node(LimitFleet &owner, std::size_t number)
        : fleet(owner)
        , index(number)
        , startedAt(owner.clock.now())
        , limits(owner.clock, nameOf(number), std::min<std::size_t>(3, owner.plan.instances - 1),
                 number, *this)
    {
    }

    void sendLimits(std::string_view instance, const LimitMessage &content) override
    {
        this->fleet.post(this->index, std::string(instance), content);
    }

    void broadcastLimits(const LimitMessage &content) override
    {
        for (const std::string &name : this->view)
            this->sendLimits(name, content);
    }

    void sendLimitsToSample(const LimitMessage &content) override
    {
        std::vector<std::string> some;
        std::sample(this->view.begin(), this->view.end(), std::back_inserter(some), sampleSize,
                    this->fleet.random);
        for (const std::string &name : some)
            this->sendLimits(name, content);
    }

    void tryRequest()
    {
        if (this->limits.remainingBackoff(target) > Duration(0))
            return;
        const auto decided = [this](const Permit &permit) {
            if (permit.granted)
                this->fleet.onRequestSent(this->index);
        };
        if (const auto permit = this->limits.request(target, decided))
            decided(*permit);
    }

    bool isRunning() const
    {
        const TimePoint now = this->fleet.clock.now();
        return now >= this->downUntil && now >= this->stalledUntil;
    }

    LimitFleet &fleet;
    std::size_t index;
    TimePoint startedAt;
    TimePoint downUntil;
    TimePoint stalledUntil;
    std::vector<std::string> view;
    std::size_t messages = 0; // in the current second
    std::size_t maxMessages = 0;
    std::vector<TimePoint> answers; // due times of the target's answers in transit
    TargetLimits limits;
};

LimitFleet::LimitFleet(const LimitFleetPlan &fleetPlan)
    : plan(fleetPlan)
    , partitions(fleetPlan.instances, 0)
{
    this->clock.advance(1h);
    this->nodes.resize(fleetPlan.instances);
    for (std::size_t i = 0; i < fleetPlan.instances; ++i)
        this->start(i);
    this->startCount = 0;
}

LimitFleet::~LimitFleet() = default;

void LimitFleet::start(std::size_t index)
{
    this->nodes[index] = std::make_unique<Node>(*this, index);
    ++this->startCount;
}

bool LimitFleet::reaches(std::size_t from, std::size_t to) const
{
    return this->partitions[from] == this->partitions[to];
}

void LimitFleet::post(std::size_t from, const std::string &to, const LimitMessage &content)
{
    Node &sender = *this->nodes[from];
    sender.maxMessages = std::max(sender.maxMessages, ++sender.messages);
    const bool lossy = this->plan.fault == LimitFault::Lossy;
    if (lossy && std::bernoulli_distribution(lossRate)(this->random))
        return;
    std::uniform_int_distribution<std::int64_t> taken(latency.count(),
                                                      lossy ? maxLatency.count() : latency.count());
    const TimePoint due = this->clock.now() + std::chrono::milliseconds(taken(this->random));
    const auto after = std::upper_bound(
            this->messages.begin(), this->messages.end(), due,
            [](TimePoint moment, const InFlightMessage &one) { return moment < one.due; });
    this->messages.insert(after, {due, from, indexOf(to), content});
}

// Messages to a stalled instance are kept until it resumes, as in its socket's buffer.
void LimitFleet::deliver()
{
    std::deque<InFlightMessage> due;
    while (!this->messages.empty() && this->messages.front().due <= this->clock.now()) {
        due.push_back(std::move(this->messages.front()));
        this->messages.pop_front();
    }
    for (InFlightMessage &message : due) {
        Node &node = *this->nodes[message.to];
        if (!this->reaches(message.from, message.to) || this->clock.now() < node.downUntil)
            continue;
        if (node.isRunning()) {
            node.limits.onMessage(nameOf(message.from), message.content);
            continue;
        }
        message.due = node.stalledUntil;
        const auto after = std::upper_bound(
                this->messages.begin(), this->messages.end(), message.due,
                [](TimePoint moment, const InFlightMessage &one) { return moment < one.due; });
        this->messages.insert(after, std::move(message));
    }
}

void LimitFleet::onRequestSent(std::size_t index)
{
    Node &node = *this->nodes[index];
    node.answers.push_back(this->clock.now() + answerDelay);
    if (this->advertisedAt == TimePoint{})
        return;
    if (node.limits.limitOf(target))
        this->sends.push_back(this->clock.now());
    else
        ++this->unawareCount;
}

void LimitFleet::generateRequests()
{
    const double mean =
            this->plan.requestsPerSecond * std::chrono::duration<double>(stepTime).count();
    std::poisson_distribution<int> requests(mean);
    std::uniform_int_distribution<std::size_t> which(0, this->nodes.size() - 1);
    for (int i = requests(this->random); i > 0; --i) {
        Node &node = *this->nodes[which(this->random)];
        if (node.isRunning() && this->clock.now() - node.startedAt >= serviceDelay)
            node.tryRequest();
    }
}

void LimitFleet::step()
{
    this->clock.advance(stepTime);
    const TimePoint now = this->clock.now();
    this->deliver();
    const bool second = now.time_since_epoch() % 1s < stepTime;
    const bool tick = now.time_since_epoch() % tickInterval < stepTime;
    for (const auto &node : this->nodes) {
        if (second)
            node->messages = 0;
        if (!node->isRunning())
            continue;
        const auto received =
                std::erase_if(node->answers, [now](TimePoint due) { return due <= now; });
        if (received > 0 && this->advertisedAt != TimePoint{})
            node->limits.recordLimit(target, this->plan.limit);
        const auto next = node->limits.nextDeadline();
        if (tick || (next && *next <= now))
            node->limits.tick();
    }
    this->generateRequests();
}

void LimitFleet::updateAllViews()
{
    this->updateViews(1);
}

// Gives each instance a random part of the reachable instances that are up as its view of the
// fleet.
void LimitFleet::updateViews(double part)
{
    std::bernoulli_distribution sees(part);
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        Node &node = *this->nodes[i];
        std::vector<std::string> names;
        for (std::size_t other = 0; other < this->nodes.size(); ++other) {
            const bool up = this->clock.now() >= this->nodes[other]->downUntil;
            if (other != i && up && this->reaches(i, other) && sees(this->random))
                names.push_back(nameOf(other));
        }
        node.view = names;
        node.limits.setInstances(names);
    }
}

void LimitFleet::injectFault(int atStep)
{
    const std::size_t count = this->nodes.size();
    const int faultStep = steps(2s);
    switch (this->plan.fault) {
    case LimitFault::None:
    case LimitFault::Lossy:
        return;
    case LimitFault::Split:
    case LimitFault::Isolated:
        for (std::size_t i = 0; atStep == faultStep && i < count; ++i)
            this->partitions[i] = this->plan.fault == LimitFault::Split ? (i < count / 2 ? 0 : 1)
                                                                        : static_cast<int>(i);
        if (atStep == faultStep + steps(failureDetectionDelay))
            this->updateAllViews();
        return;
    case LimitFault::SimultaneousRestart:
        for (std::size_t i = 0; atStep == faultStep && i < count; ++i)
            this->start(i);
        if (atStep > faultStep && atStep < faultStep + steps(2s) && atStep % steps(250ms) == 0)
            this->updateViews(0.5);
        if (atStep == faultStep + steps(2s))
            this->updateAllViews();
        return;
    case LimitFault::PartialViews:
        if (atStep % steps(500ms) == 0)
            this->updateViews(0.9);
        return;
    default:
        this->injectFaultPerInstance(atStep);
    }
}

// Injects the faults that affect one instance after the other.
void LimitFleet::injectFaultPerInstance(int atStep)
{
    const bool rolling = this->plan.fault == LimitFault::RollingRestart;
    const int gap = steps(rolling ? (this->nodes.size() > 100 ? 500ms : 200ms) : 2000ms);
    if (atStep < steps(2s))
        return;
    const std::size_t index = static_cast<std::size_t>(atStep / gap) % this->nodes.size();
    const TimePoint now = this->clock.now();
    if (this->plan.fault == LimitFault::Stalls) {
        if (atStep % gap == 0)
            this->nodes[index]->stalledUntil = now + 3s;
        return;
    }
    if (this->plan.fault == LimitFault::Kills && atStep % gap == 0) {
        // The other instances are not notified; they see it in the next view but one.
        this->start(index);
        this->nodes[index]->downUntil = now + 3s;
        this->nodes[index]->startedAt = now + 3s;
    }
    if (this->plan.fault == LimitFault::RollingRestart && atStep % gap == 0) {
        this->start(index);
        for (const auto &node : this->nodes) {
            std::erase(node->view, nameOf(index));
            node->limits.setInstances(node->view);
        }
    }
    const bool seen = this->plan.fault == LimitFault::RollingRestart
                              ? atStep % gap == steps(discoveryDelay)
                              : atStep % gap == steps(failureDetectionDelay) - 1;
    if (seen)
        this->updateAllViews();
}

void LimitFleet::run()
{
    this->clock.advance(100ms);
    this->updateAllViews();
    for (int i = 0; i < steps(warmUpTime); ++i)
        this->step();
    this->advertisedAt = this->clock.now();
    for (int i = 0; i < steps(runTime); ++i) {
        this->injectFault(i);
        this->step();
    }
}

std::size_t LimitFleet::maxRequestsInWindow() const
{
    std::size_t worst = 0;
    for (auto first = this->sends.begin(); first != this->sends.end(); ++first) {
        const auto end = std::lower_bound(first, this->sends.end(), *first + window);
        worst = std::max(worst, static_cast<std::size_t>(end - first));
    }
    return worst;
}

double LimitFleet::allowedInWindow() const
{
    return 1.5 * this->plan.limit * std::chrono::duration<double>(window).count() + 5;
}

double LimitFleet::usedShare() const
{
    const double seconds = std::chrono::duration<double>(runTime).count();
    return static_cast<double>(this->sends.size()) / seconds / this->plan.limit;
}

std::size_t LimitFleet::maxMessagesPerSecond() const
{
    std::size_t worst = 0;
    for (const auto &node : this->nodes)
        worst = std::max(worst, node->maxMessages);
    return worst;
}

} // namespace jaytrack::testing
