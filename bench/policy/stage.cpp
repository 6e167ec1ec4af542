#include "stage.h"

#include "../../unittests/Soak/simulation.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <unordered_map>

namespace jaytrack::bench {

namespace {

using soak::Schedule;

constexpr Duration messageDelay = std::chrono::microseconds(1500);
constexpr Duration tickGap = std::chrono::milliseconds(20);
constexpr Duration progressGap = std::chrono::milliseconds(250);
constexpr Duration reportGap = std::chrono::milliseconds(250);
constexpr std::size_t datagramOverhead = 110;    // headers, name and authentication
constexpr double uncontendedStepSeconds = 0.035; // between tokens in a batch of usual size
constexpr Duration reportLag = std::chrono::milliseconds(300);

double quantile(std::vector<float> &values, double q)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct Request
{
    GenerationRequest ask;
    std::size_t instance = 0;
    std::size_t customer = 0;
    std::size_t kind = 0;
    int engine = -1;
    std::uint32_t produced = 0;
    TimePoint arrivedAt;
    TimePoint lastAt;
    Duration longest{0};
    bool measured = false;
    int tries = 0;
};

class Stage
{
public:
    Stage(const Workload &chosen, const PolicyMaker &make);
    Figures run();

private:
    // One instance: its policy and the updates that it receives.
    struct Node final : PolicyTransport, PlacementListener
    {
        Node(Stage &owner, std::size_t number)
            : stage(owner)
            , index(number)
        {
        }

        void send(std::string_view to, std::string message) override
        {
            this->bytes += message.size() + datagramOverhead;
            this->stage.deliver(this->index, std::string(to), std::move(message));
        }

        void onPlacement(std::uint64_t id, const Placement &placement) override
        {
            this->stage.onPlacement(id, placement);
        }

        Stage &stage;
        std::size_t index;
        std::string name;
        std::uint64_t bytes = 0;
        bool lost = false;
        std::unique_ptr<PlacementPolicy> policy;
    };

    struct EngineState
    {
        EngineState(const BatchEngineSpec &spec, std::string engineName)
            : model(spec)
            , name(std::move(engineName))
        {
        }

        BatchEngine model;
        std::string name;
        bool stepping = false;
        bool dead = false;
        double slow = 1;
        std::deque<EngineReport> reports;
    };

    void deliver(std::size_t from, const std::string &to, std::string message);
    void arrive();
    void submit(std::uint64_t id);
    void onPlacement(std::uint64_t id, const Placement &placement);
    void stepEngine(std::size_t index);
    void apply(std::size_t index, const EngineStep &step);
    void onToken(Request &request);
    void finish(std::uint64_t id);
    void giveUp(std::uint64_t id, bool notRun);
    void tickAll();
    void reportAll();
    void reportProgress();
    void injectFault();
    void killEngine(std::size_t index);
    void loseInstance(std::size_t index);
    double rateNow() const;
    double elapsed() const { return secondsOf(this->schedule.clock.now() - this->startedAt); }

    Workload workload;
    Schedule schedule;
    std::mt19937_64 random;
    TimePoint startedAt;
    double capacity;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<EngineState>> engines;
    std::unordered_map<std::uint64_t, Request> requests;
    std::uint64_t nextId = 1;
    std::vector<float> stalls;
    std::vector<float> gaps;
    std::vector<float> firsts;
    std::vector<float> urgentFirsts;
    std::vector<double> requestedTokens;
    std::vector<double> completedTokens;
    std::uint64_t preemptions = 0;
    std::uint64_t measured = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
    double goodTokens = 0;
    double decisionSeconds = 0;
    std::uint64_t decisions = 0;
    bool frozen = false;
};

Stage::Stage(const Workload &chosen, const PolicyMaker &make)
    : workload(chosen)
    , random(chosen.seed)
    , capacity(chosen.capacityPerSecond())
    , requestedTokens(chosen.customers.size())
    , completedTokens(chosen.customers.size())
{
    this->schedule.clock.advance(std::chrono::hours(1));
    this->startedAt = this->schedule.clock.now();
    std::vector<EngineSpec> specs;
    for (std::size_t i = 0; i < chosen.engines; ++i) {
        const std::string name = "engine-" + std::to_string(i);
        this->engines.push_back(std::make_unique<EngineState>(chosen.engine, name));
        specs.push_back(
                {name, "model", "dc", chosen.engine.slots, chosen.engine.memoryTokens, false});
    }
    std::vector<std::string> names;
    for (std::size_t i = 0; i < chosen.instances; ++i)
        names.push_back("instance-" + std::to_string(i));
    for (std::size_t i = 0; i < chosen.instances; ++i) {
        auto node = std::make_unique<Node>(*this, i);
        node->name = names[i];
        node->policy = make(names[i], this->schedule.clock, this->random(), *node, *node);
        node->policy->setInstances(names);
        node->policy->setEngines(specs);
        this->nodes.push_back(std::move(node));
    }
}

void Stage::deliver(std::size_t from, const std::string &to, std::string message)
{
    this->schedule.after(messageDelay, [this, from, to, message = std::move(message)] {
        for (const auto &node : this->nodes) {
            if (node->name == to && !node->lost)
                node->policy->receive(this->nodes[from]->name, message);
        }
    });
}

double Stage::rateNow() const
{
    const double at = this->elapsed() - this->workload.warmUp;
    const bool surging = this->workload.surgeLoad > 0 && at >= 0 && at < 60;
    return this->capacity * (surging ? this->workload.surgeLoad : this->workload.load);
}

void Stage::arrive()
{
    const double total = this->workload.warmUp + this->workload.seconds;
    if (this->elapsed() >= total)
        return;
    const double third = this->workload.seconds / 3;
    const double at = this->elapsed() - this->workload.warmUp;
    const bool bursting = this->workload.burst && at >= third && at < 2 * third;

    std::vector<double> weights;
    double sum = 0;
    for (const BenchCustomer &customer : this->workload.customers) {
        weights.push_back(customer.share * (bursting ? customer.burstFactor : 1));
        sum += weights.back();
    }
    std::discrete_distribution<std::size_t> customers(weights.begin(), weights.end());
    std::vector<double> shares;
    for (const Kind &kind : this->workload.kinds)
        shares.push_back(kind.share);
    std::discrete_distribution<std::size_t> kinds(shares.begin(), shares.end());

    Request request;
    request.customer = customers(this->random);
    request.kind = kinds(this->random);
    const Kind &kind = this->workload.kinds[request.kind];
    const BenchCustomer &customer = this->workload.customers[request.customer];
    request.arrivedAt = this->schedule.clock.now();
    request.lastAt = request.arrivedAt;
    request.measured = at >= 0;
    GenerationRequest &ask = request.ask;
    ask.model = "model";
    ask.customer = customer.name;
    ask.weight = customer.weight;
    ask.priority = kind.priority;
    ask.promptTokens = kind.promptTokens + kind.prefixTokens;
    ask.prefixTokens = kind.prefixTokens;
    if (kind.prefixTokens > 0)
        ask.prefixHash = 1 + request.kind * 1000 + this->random() % kind.prefixes;
    ask.mayWait = kind.mayWait;
    ask.overflowBound = this->workload.overflowBound;
    ask.maxWait = std::chrono::seconds(60);
    ask.trueLength = drawLength(kind, this->random);
    if (request.measured)
        ++this->measured;
    const std::uint64_t id = this->nextId++;
    ask.id = id;
    do
        request.instance = this->random() % this->nodes.size();
    while (this->nodes[request.instance]->lost);
    this->requests.emplace(id, std::move(request));
    this->submit(id);

    const double rate = this->rateNow() * sum;
    const double gap = std::exponential_distribution<double>(rate)(this->random);
    this->schedule.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
                         [this] { this->arrive(); });
}

void Stage::submit(std::uint64_t id)
{
    const GenerationRequest ask = this->requests.at(id).ask;
    Node &node = *this->nodes[this->requests.at(id).instance];
    const auto before = std::chrono::steady_clock::now();
    node.policy->submit(ask);
    this->decisionSeconds += secondsOf(std::chrono::steady_clock::now() - before);
    ++this->decisions;
}

void Stage::onPlacement(std::uint64_t id, const Placement &placement)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    Request &request = found->second;
    if (placement.code != ResultCode::Ok) {
        // Called from within the policy, which must not see the request leave during the call.
        this->schedule.after(Duration(0), [this, id] { this->giveUp(id, true); });
        return;
    }
    const std::size_t index = std::stoul(placement.engine.substr(placement.engine.find('-') + 1));
    request.engine = static_cast<int>(index);
    EngineJob job;
    job.id = id;
    job.priority = request.ask.priority;
    job.promptTokens = request.ask.promptTokens;
    job.outputTokens = request.ask.trueLength;
    job.prefixHash = request.ask.prefixHash;
    job.prefixTokens = request.ask.prefixTokens;
    this->schedule.after(messageDelay, [this, index, job] {
        EngineState &engine = *this->engines[index];
        const auto alive = this->requests.find(job.id);
        if (alive == this->requests.end())
            return;
        if (engine.dead) {
            // The connection is refused, so nothing has run.
            Request &retried = alive->second;
            this->nodes[retried.instance]->policy->departed(retried.ask.id, Departure::Refused, 0);
            retried.ask.avoid.push_back(engine.name);
            this->submit(job.id);
            return;
        }
        engine.model.submit(job);
        if (!engine.stepping) {
            engine.stepping = true;
            this->stepEngine(index);
        }
    });
}

void Stage::stepEngine(std::size_t index)
{
    EngineState &engine = *this->engines[index];
    if (engine.dead || engine.model.idle()) {
        engine.stepping = false;
        return;
    }
    const EngineStep step = engine.model.step();
    const auto took = std::chrono::duration_cast<Duration>(step.took * engine.slow);
    this->schedule.after(took, [this, index, step] {
        if (!this->engines[index]->dead)
            this->apply(index, step);
        this->stepEngine(index);
    });
}

void Stage::apply(std::size_t, const EngineStep &step)
{
    for (const EngineEvent &event : step.events) {
        const auto found = this->requests.find(event.job);
        if (found == this->requests.end())
            continue;
        if (event.kind == EngineEventKind::Preempted) {
            if (this->elapsed() >= this->workload.warmUp)
                ++this->preemptions;
        } else if (event.kind == EngineEventKind::Token) {
            this->onToken(found->second);
        } else {
            this->finish(event.job);
        }
    }
}

void Stage::onToken(Request &request)
{
    const TimePoint now = this->schedule.clock.now();
    const Duration gap = now - request.lastAt;
    request.longest = std::max(request.longest, gap);
    request.lastAt = now;
    ++request.produced;
    if (!request.measured)
        return;
    const auto seconds = static_cast<float>(secondsOf(gap));
    if (request.produced > 1) {
        this->gaps.push_back(seconds);
        return;
    }
    const auto first = static_cast<float>(secondsOf(now - request.arrivedAt));
    this->firsts.push_back(first);
    if (request.ask.priority > 0)
        this->urgentFirsts.push_back(first);
}

void Stage::finish(std::uint64_t id)
{
    Request &request = this->requests.at(id);
    this->nodes[request.instance]->policy->departed(request.ask.id, Departure::Finished,
                                                    request.produced);
    const double total = this->workload.warmUp + this->workload.seconds;
    if (request.measured && this->elapsed() <= total) {
        this->goodTokens += request.produced;
        this->completedTokens[request.customer] += request.produced;
        this->requestedTokens[request.customer] += request.produced;
        this->stalls.push_back(static_cast<float>(secondsOf(request.longest)));
    }
    this->requests.erase(id);
}

void Stage::giveUp(std::uint64_t id, bool notRun)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    if (found->second.measured) {
        ++(notRun ? this->refused : this->lost);
        this->requestedTokens[found->second.customer] += found->second.ask.trueLength;
    }
    this->requests.erase(found);
}

void Stage::tickAll()
{
    for (const auto &node : this->nodes) {
        if (!node->lost)
            node->policy->tick();
    }
    this->schedule.after(tickGap, [this] { this->tickAll(); });
}

void Stage::reportProgress()
{
    for (const auto &[id, request] : this->requests) {
        if (request.engine >= 0 && request.produced > 0)
            this->nodes[request.instance]->policy->progress(id, request.produced);
    }
    this->schedule.after(progressGap, [this] { this->reportProgress(); });
}

void Stage::reportAll()
{
    const TimePoint now = this->schedule.clock.now();
    for (const auto &engine : this->engines) {
        EngineReport report;
        report.memoryUsed = engine->model.memoryUsed();
        report.running = engine->model.runningCount();
        report.waiting = engine->model.waitingCount();
        report.alive = !engine->dead;
        report.takenAt = now;
        engine->reports.push_back(report);
        while (engine->reports.size() > 1 && engine->reports[1].takenAt <= now - reportLag)
            engine->reports.pop_front();
        if (this->frozen)
            continue;
        EngineReport delivered = engine->reports.front();
        delivered.alive = !engine->dead; // a refused connection shows it at once
        for (const auto &node : this->nodes) {
            auto *fleet = dynamic_cast<FleetPolicy *>(node->policy.get());
            const bool receives = fleet == nullptr || fleet->isHomeOf(engine->name);
            if (receives && !node->lost)
                node->policy->report(engine->name, delivered);
        }
    }
    this->schedule.after(reportGap, [this] { this->reportAll(); });
}

void Stage::killEngine(std::size_t index)
{
    EngineState &engine = *this->engines[index];
    engine.dead = true;
    std::vector<std::uint64_t> affected;
    for (const auto &[id, request] : this->requests) {
        if (request.engine == static_cast<int>(index))
            affected.push_back(id);
    }
    for (const std::uint64_t id : affected) {
        Request &request = this->requests.at(id);
        this->nodes[request.instance]->policy->departed(request.ask.id, Departure::Lost,
                                                        request.produced);
        if (request.produced > 0) {
            this->giveUp(id, false);
            continue;
        }
        request.engine = -1;
        request.ask.avoid.push_back(engine.name);
        this->submit(id);
    }
}

// In production the callers of a lost instance reconnect to the others, and their streams continue
// at the engines. This model moves the requests to the other instances at once: those with an
// engine continue without interruption, and those without one are submitted again.
void Stage::loseInstance(std::size_t index)
{
    this->nodes[index]->lost = true;
    std::vector<std::string> names;
    for (const auto &node : this->nodes) {
        if (!node->lost)
            names.push_back(node->name);
    }
    std::vector<std::uint64_t> unplaced;
    for (auto &[id, request] : this->requests) {
        if (request.instance != index)
            continue;
        request.instance = (index + 1 + id % (this->nodes.size() - 1)) % this->nodes.size();
        if (request.engine < 0)
            unplaced.push_back(id);
    }
    for (const std::uint64_t id : unplaced)
        this->submit(id);
    // The other instances learn of it after the failure detection time.
    this->schedule.after(std::chrono::seconds(5), [this, names] {
        for (const auto &node : this->nodes) {
            if (!node->lost)
                node->policy->setInstances(names);
        }
    });
}

void Stage::injectFault()
{
    switch (this->workload.fault) {
    case FaultKind::None:
        return;
    case FaultKind::EngineDies:
        this->killEngine(3);
        return;
    case FaultKind::EngineSlow:
        this->engines[3]->slow = 5;
        return;
    case FaultKind::ReportsFreeze:
        this->frozen = true;
        return;
    case FaultKind::InstanceLost:
        this->loseInstance(2);
        return;
    }
}

Figures Stage::run()
{
    const auto seconds = [](double value) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    };
    const double third = this->workload.seconds / 3;
    this->schedule.after(Duration(0), [this] { this->arrive(); });
    this->schedule.after(tickGap, [this] { this->tickAll(); });
    this->schedule.after(reportGap, [this] { this->reportAll(); });
    this->schedule.after(progressGap, [this] { this->reportProgress(); });
    this->schedule.after(seconds(this->workload.warmUp + third), [this] { this->injectFault(); });
    const double total = this->workload.warmUp + this->workload.seconds;
    this->schedule.runUntil(this->startedAt + seconds(total));

    Figures outcome;
    outcome.requests = this->measured;
    outcome.goodput = this->goodTokens / this->workload.seconds;
    // Requests that are still waiting count as stalled too.
    for (const auto &[id, request] : this->requests) {
        const Duration now = std::max(request.longest, this->schedule.clock.now() - request.lastAt);
        if (request.engine < 0)
            outcome.backlogAtEnd += 1 / this->capacity;
        if (!request.measured)
            continue;
        this->stalls.push_back(static_cast<float>(secondsOf(now)));
        // For an unfinished request: what an engine that serves it alone would have produced by
        // now.
        const double age = secondsOf(this->schedule.clock.now() - request.arrivedAt);
        this->requestedTokens[request.customer] +=
                std::min<double>(request.ask.trueLength, age / uncontendedStepSeconds);
        this->completedTokens[request.customer] += request.produced;
    }
    outcome.stallP99 = quantile(this->stalls, 0.99);
    outcome.itlP99 = quantile(this->gaps, 0.99);
    outcome.ttftP95 = quantile(this->firsts, 0.95);
    outcome.urgentTtftP99 = quantile(this->urgentFirsts, 0.99);
    outcome.preemptions = this->preemptions;
    const auto count = static_cast<double>(std::max<std::uint64_t>(1, this->measured));
    outcome.notRun = static_cast<double>(this->refused) / count;
    outcome.lost = static_cast<double>(this->lost) / count;
    outcome.fairMin = 1;
    for (std::size_t i = 0; i < this->workload.customers.size(); ++i) {
        const bool small = this->workload.customers[i].weight == 1;
        if (small && this->requestedTokens[i] > 0)
            outcome.fairMin =
                    std::min(outcome.fairMin, this->completedTokens[i] / this->requestedTokens[i]);
    }
    outcome.microsPerDecision = this->decisionSeconds /
                                static_cast<double>(std::max<std::uint64_t>(1, this->decisions)) *
                                1e6;
    std::uint64_t bytes = 0;
    for (const auto &node : this->nodes)
        bytes += node->bytes;
    outcome.policyBytesPerSecond =
            static_cast<double>(bytes) / total / static_cast<double>(this->nodes.size());
    return outcome;
}

} // namespace

Figures runWorkload(const Workload &workload, const PolicyMaker &make)
{
    return Stage(workload, make).run();
}

} // namespace jaytrack::bench
