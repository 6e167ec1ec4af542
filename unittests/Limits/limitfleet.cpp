#include "limitfleet.h"

#include <algorithm>

namespace jaytrack::testing {

namespace {

using namespace std::chrono_literals;

const std::string target = "limited-target";

constexpr std::chrono::milliseconds stepTime{5};
constexpr std::chrono::seconds before{5};  // in which the instances come to know each other
constexpr std::chrono::seconds played{24}; // from the naming on
constexpr std::chrono::seconds window{4};
constexpr std::chrono::milliseconds answerAfter{10}; // of the target
constexpr std::chrono::milliseconds latency{5};
constexpr std::chrono::milliseconds slowest{40}; // of lossy links
constexpr double lost = 0.05;
constexpr std::chrono::milliseconds tickGap{100};
constexpr std::chrono::milliseconds meetsAfter{100}; // an instance that starts
constexpr std::chrono::milliseconds servesAfter{500};
constexpr std::chrono::seconds noticedAfter{2}; // that an instance is gone
constexpr int drawn = 3;

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

    void sendLimits(std::string_view instance, const LimitMessage &news) override
    {
        this->fleet.post(this->index, std::string(instance), news);
    }

    void broadcastLimits(const LimitMessage &news) override
    {
        for (const std::string &name : this->view)
            this->sendLimits(name, news);
    }

    void sendLimitsToSample(const LimitMessage &news) override
    {
        std::vector<std::string> some;
        std::sample(this->view.begin(), this->view.end(), std::back_inserter(some), drawn,
                    this->fleet.random);
        for (const std::string &name : some)
            this->sendLimits(name, news);
    }

    void want()
    {
        if (this->limits.remainingBackoff(target) > Duration(0))
            return;
        const auto decided = [this](const Permit &permit) {
            if (permit.granted)
                this->fleet.sent(this->index);
        };
        if (const auto permit = this->limits.request(target, decided))
            decided(*permit);
    }

    bool isAwake() const
    {
        const TimePoint now = this->fleet.clock.now();
        return now >= this->downUntil && now >= this->frozenUntil;
    }

    LimitFleet &fleet;
    std::size_t index;
    TimePoint startedAt;
    TimePoint downUntil;
    TimePoint frozenUntil;
    std::vector<std::string> view;
    std::size_t messages = 0; // in this second
    std::size_t mostMessages = 0;
    std::vector<TimePoint> answers; // of the target that are under way
    TargetLimits limits;
};

LimitFleet::LimitFleet(const LimitFleetPlan &given)
    : plan(given)
    , parts(given.instances, 0)
{
    this->clock.advance(1h);
    this->nodes.resize(given.instances);
    for (std::size_t i = 0; i < given.instances; ++i)
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
    return this->parts[from] == this->parts[to];
}

void LimitFleet::post(std::size_t from, const std::string &to, const LimitMessage &news)
{
    Node &sender = *this->nodes[from];
    sender.mostMessages = std::max(sender.mostMessages, ++sender.messages);
    const bool lossy = this->plan.trouble == LimitTrouble::Lossy;
    if (lossy && std::bernoulli_distribution(lost)(this->random))
        return;
    std::uniform_int_distribution<std::int64_t> taken(latency.count(),
                                                      lossy ? slowest.count() : latency.count());
    const TimePoint due = this->clock.now() + std::chrono::milliseconds(taken(this->random));
    const auto after =
            std::upper_bound(this->messages.begin(), this->messages.end(), due,
                             [](TimePoint moment, const Message &one) { return moment < one.due; });
    this->messages.insert(after, {due, from, indexOf(to), news});
}

// Messages to an instance that stands still wait for it, as in its socket.
void LimitFleet::deliver()
{
    std::deque<Message> due;
    while (!this->messages.empty() && this->messages.front().due <= this->clock.now()) {
        due.push_back(std::move(this->messages.front()));
        this->messages.pop_front();
    }
    for (Message &message : due) {
        Node &node = *this->nodes[message.to];
        if (!this->reaches(message.from, message.to) || this->clock.now() < node.downUntil)
            continue;
        if (node.isAwake()) {
            node.limits.onMessage(nameOf(message.from), message.news);
            continue;
        }
        message.due = node.frozenUntil;
        const auto after = std::upper_bound(
                this->messages.begin(), this->messages.end(), message.due,
                [](TimePoint moment, const Message &one) { return moment < one.due; });
        this->messages.insert(after, std::move(message));
    }
}

void LimitFleet::sent(std::size_t index)
{
    Node &node = *this->nodes[index];
    node.answers.push_back(this->clock.now() + answerAfter);
    if (this->namedAt == TimePoint{})
        return;
    if (node.limits.limitOf(target))
        this->sends.push_back(this->clock.now());
    else
        ++this->unawareSends;
}

void LimitFleet::wantSome()
{
    const double mean = this->plan.wanted * std::chrono::duration<double>(stepTime).count();
    std::poisson_distribution<int> wants(mean);
    std::uniform_int_distribution<std::size_t> which(0, this->nodes.size() - 1);
    for (int i = wants(this->random); i > 0; --i) {
        Node &node = *this->nodes[which(this->random)];
        if (node.isAwake() && this->clock.now() - node.startedAt >= servesAfter)
            node.want();
    }
}

void LimitFleet::step()
{
    this->clock.advance(stepTime);
    const TimePoint now = this->clock.now();
    this->deliver();
    const bool second = now.time_since_epoch() % 1s < stepTime;
    const bool tick = now.time_since_epoch() % tickGap < stepTime;
    for (const auto &node : this->nodes) {
        if (second)
            node->messages = 0;
        if (!node->isAwake())
            continue;
        const auto heard =
                std::erase_if(node->answers, [now](TimePoint due) { return due <= now; });
        if (heard > 0 && this->namedAt != TimePoint{})
            node->limits.recordLimit(target, this->plan.limit);
        const auto next = node->limits.nextStep();
        if (tick || (next && *next <= now))
            node->limits.tick();
    }
    this->wantSome();
}

void LimitFleet::meetAll()
{
    this->meetSome(1);
}

// What instances take for the fleet: a part of those that are up and that they reach.
void LimitFleet::meetSome(double part)
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

void LimitFleet::stir(int atStep)
{
    const std::size_t count = this->nodes.size();
    const int trouble = steps(2s);
    switch (this->plan.trouble) {
    case LimitTrouble::None:
    case LimitTrouble::Lossy:
        return;
    case LimitTrouble::Split:
    case LimitTrouble::AllAlone:
        for (std::size_t i = 0; atStep == trouble && i < count; ++i)
            this->parts[i] = this->plan.trouble == LimitTrouble::Split ? (i < count / 2 ? 0 : 1)
                                                                       : static_cast<int>(i);
        if (atStep == trouble + steps(noticedAfter))
            this->meetAll();
        return;
    case LimitTrouble::CommonStart:
        for (std::size_t i = 0; atStep == trouble && i < count; ++i)
            this->start(i);
        if (atStep > trouble && atStep < trouble + steps(2s) && atStep % steps(250ms) == 0)
            this->meetSome(0.5);
        if (atStep == trouble + steps(2s))
            this->meetAll();
        return;
    case LimitTrouble::LateViews:
        if (atStep % steps(500ms) == 0)
            this->meetSome(0.9);
        return;
    default:
        this->stirEach(atStep);
    }
}

// Troubles that come to one instance after the other.
void LimitFleet::stirEach(int atStep)
{
    const bool rolling = this->plan.trouble == LimitTrouble::RollingStarts;
    const int gap = steps(rolling ? (this->nodes.size() > 100 ? 500ms : 200ms) : 2000ms);
    if (atStep < steps(2s))
        return;
    const std::size_t index = static_cast<std::size_t>(atStep / gap) % this->nodes.size();
    const TimePoint now = this->clock.now();
    if (this->plan.trouble == LimitTrouble::Freezes) {
        if (atStep % gap == 0)
            this->nodes[index]->frozenUntil = now + 3s;
        return;
    }
    if (this->plan.trouble == LimitTrouble::Kills && atStep % gap == 0) {
        // Nobody is told; the next view but one shows it.
        this->start(index);
        this->nodes[index]->downUntil = now + 3s;
        this->nodes[index]->startedAt = now + 3s;
    }
    if (this->plan.trouble == LimitTrouble::RollingStarts && atStep % gap == 0) {
        this->start(index);
        for (const auto &node : this->nodes) {
            std::erase(node->view, nameOf(index));
            node->limits.setInstances(node->view);
        }
    }
    const bool seen = this->plan.trouble == LimitTrouble::RollingStarts
                              ? atStep % gap == steps(meetsAfter)
                              : atStep % gap == steps(noticedAfter) - 1;
    if (seen)
        this->meetAll();
}

void LimitFleet::play()
{
    this->clock.advance(100ms);
    this->meetAll();
    for (int i = 0; i < steps(before); ++i)
        this->step();
    this->namedAt = this->clock.now();
    for (int i = 0; i < steps(played); ++i) {
        this->stir(i);
        this->step();
    }
}

std::size_t LimitFleet::worstWindow() const
{
    std::size_t worst = 0;
    for (auto first = this->sends.begin(); first != this->sends.end(); ++first) {
        const auto end = std::lower_bound(first, this->sends.end(), *first + window);
        worst = std::max(worst, static_cast<std::size_t>(end - first));
    }
    return worst;
}

double LimitFleet::mostAllowed() const
{
    return 1.5 * this->plan.limit * std::chrono::duration<double>(window).count() + 5;
}

double LimitFleet::usedPart() const
{
    const double seconds = std::chrono::duration<double>(played).count();
    return static_cast<double>(this->sends.size()) / seconds / this->plan.limit;
}

std::size_t LimitFleet::worstMessages() const
{
    std::size_t worst = 0;
    for (const auto &node : this->nodes)
        worst = std::max(worst, node->mostMessages);
    return worst;
}

} // namespace jaytrack::testing
