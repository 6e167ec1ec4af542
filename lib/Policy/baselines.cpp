#include "jaytrack/Policy/baselines.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <list>
#include <map>
#include <random>
#include <unordered_map>

namespace jaytrack {

namespace {

constexpr double staticThresholdShare = 0.8; // of an engine's memory
constexpr double staticReserveTokens = 1000; // assumed length of a generation

// The state that the baselines keep of an engine.
struct EngineState
{
    EngineSpec spec;
    EngineReport report;
    std::uint32_t own = 0; // placed by this instance and still running
    std::uint64_t ownTokens = 0;

    bool isUsable() const
    {
        return !this->spec.leaving && !this->report.leaving && this->report.alive;
    }
};

struct Placed
{
    std::string engine;
    std::uint32_t promptTokens = 0;
    std::uint32_t produced = 0;
};

// The parts common to all baselines: the tables of engines and placed generations, and the queue of
// waiting requests.
class SimplePolicy : public PlacementPolicy
{
public:
    SimplePolicy(const Clock &clockSource, PlacementListener &placementListener)
        : clock(clockSource)
        , listener(placementListener)
    {
    }

    void setEngines(std::span<const EngineSpec> specs) override
    {
        std::map<std::string, EngineState, std::less<>> fresh;
        for (const EngineSpec &spec : specs) {
            EngineState &state = fresh[spec.name];
            const auto old = this->engines.find(spec.name);
            if (old != this->engines.end())
                state = old->second;
            state.spec = spec;
        }
        this->engines = std::move(fresh);
    }

    void setInstances(std::span<const std::string>) override {}

    void submit(const GenerationRequest &request) override
    {
        if (!this->tryPlace(request))
            this->waiting.push_back({request, this->clock.now()});
    }

    void withdraw(std::uint64_t id) override
    {
        this->waiting.remove_if([id](const Waiting &entry) { return entry.request.id == id; });
    }

    void progress(std::uint64_t id, std::uint32_t producedTokens) override
    {
        const auto found = this->placed.find(id);
        if (found == this->placed.end())
            return;
        EngineState &engine = this->engines[found->second.engine];
        engine.ownTokens += producedTokens - found->second.produced;
        found->second.produced = producedTokens;
    }

    void departed(std::uint64_t id, Departure, std::uint32_t) override
    {
        const auto found = this->placed.find(id);
        if (found == this->placed.end())
            return;
        EngineState &engine = this->engines[found->second.engine];
        --engine.own;
        engine.ownTokens -= found->second.promptTokens + found->second.produced;
        this->placed.erase(found);
    }

    void report(std::string_view name, const EngineReport &report) override
    {
        const auto found = this->engines.find(name);
        if (found != this->engines.end())
            found->second.report = report;
    }

    void receive(std::string_view, std::string_view) override {}

    void tick() override
    {
        const TimePoint now = this->clock.now();
        for (auto it = this->waiting.begin(); it != this->waiting.end();) {
            if (this->tryPlace(it->request)) {
                it = this->waiting.erase(it);
            } else if (now - it->since > it->request.maxWait) {
                const std::uint64_t id = it->request.id;
                it = this->waiting.erase(it);
                this->listener.onPlacement(id, {ResultCode::WaitExpired, "",
                                                "no engine had room within the maximum wait",
                                                std::chrono::seconds(1)});
            } else {
                ++it;
            }
        }
    }

protected:
    // Returns the engine to use now, or null if the request must wait.
    virtual EngineState *choose(const GenerationRequest &request,
                                std::span<EngineState *const> usable) = 0;

    const Clock &clock;

private:
    struct Waiting
    {
        GenerationRequest request;
        TimePoint since;
    };

    bool tryPlace(const GenerationRequest &request)
    {
        std::vector<EngineState *> usable;
        for (auto &[name, engine] : this->engines) {
            const bool avoided = std::find(request.avoid.begin(), request.avoid.end(), name) !=
                                 request.avoid.end();
            if (engine.spec.model == request.model && engine.isUsable() && !avoided)
                usable.push_back(&engine);
        }
        EngineState *chosen = usable.empty() ? nullptr : this->choose(request, usable);
        if (chosen == nullptr)
            return false;
        ++chosen->own;
        chosen->ownTokens += request.promptTokens;
        this->placed[request.id] = {chosen->spec.name, request.promptTokens, 0};
        this->listener.onPlacement(request.id, {ResultCode::Ok, chosen->spec.name, "baseline", {}});
        return true;
    }

    PlacementListener &listener;
    std::map<std::string, EngineState, std::less<>> engines;
    std::unordered_map<std::uint64_t, Placed> placed;
    std::list<Waiting> waiting;
};

class RoundRobinPolicy final : public SimplePolicy
{
public:
    using SimplePolicy::SimplePolicy;

protected:
    EngineState *choose(const GenerationRequest &, std::span<EngineState *const> usable) override
    {
        return usable[this->turn++ % usable.size()];
    }

private:
    std::size_t turn = 0;
};

class LeastOutstandingPolicy final : public SimplePolicy
{
public:
    LeastOutstandingPolicy(const Clock &clockSource, PlacementListener &placementListener,
                           std::uint64_t seed)
        : SimplePolicy(clockSource, placementListener)
        , random(seed)
    {
    }

protected:
    EngineState *choose(const GenerationRequest &, std::span<EngineState *const> usable) override
    {
        // Ties are broken at random; otherwise every instance would fill the engines in the
        // same order.
        const std::size_t start = this->random() % usable.size();
        EngineState *best = usable[start];
        for (std::size_t i = 1; i < usable.size(); ++i) {
            EngineState *other = usable[(start + i) % usable.size()];
            if (other->own < best->own)
                best = other;
        }
        return best;
    }

private:
    std::mt19937_64 random;
};

class PowerOfTwoPolicy final : public SimplePolicy
{
public:
    PowerOfTwoPolicy(const Clock &clockSource, PlacementListener &placementListener,
                     std::uint64_t seed)
        : SimplePolicy(clockSource, placementListener)
        , random(seed)
    {
    }

protected:
    EngineState *choose(const GenerationRequest &, std::span<EngineState *const> usable) override
    {
        EngineState *left = usable[this->random() % usable.size()];
        EngineState *right = usable[this->random() % usable.size()];
        return load(*left) <= load(*right) ? left : right;
    }

private:
    static double load(const EngineState &engine)
    {
        const double memory = static_cast<double>(engine.report.memoryUsed) /
                              static_cast<double>(engine.spec.memoryTokens);
        return memory + engine.report.waiting;
    }

    std::mt19937_64 random;
};

class StaticThresholdPolicy final : public SimplePolicy
{
public:
    StaticThresholdPolicy(const Clock &clockSource, PlacementListener &placementListener,
                          std::uint64_t seed)
        : SimplePolicy(clockSource, placementListener)
        , random(seed)
    {
    }

protected:
    EngineState *choose(const GenerationRequest &request,
                        std::span<EngineState *const> usable) override
    {
        const std::size_t start = this->random() % usable.size();
        EngineState *best = nullptr;
        for (std::size_t i = 0; i < usable.size(); ++i) {
            EngineState *engine = usable[(start + i) % usable.size()];
            const double used = std::max(static_cast<double>(engine->report.memoryUsed),
                                         static_cast<double>(engine->ownTokens));
            const double limit =
                    staticThresholdShare * static_cast<double>(engine->spec.memoryTokens);
            if (used + request.promptTokens + staticReserveTokens > limit)
                continue;
            if (best == nullptr || engine->own < best->own)
                best = engine;
        }
        return best;
    }

private:
    std::mt19937_64 random;
};

} // namespace

// The exact remaining length of every generation in the fleet.
class OracleBoard
{
public:
    struct Job
    {
        std::uint64_t id;
        std::uint32_t size; // prompt tokens plus produced tokens
        std::uint32_t remaining;
    };

    std::map<std::string, std::vector<Job>, std::less<>> jobs;

    // Returns the maximum memory that the jobs will occupy together, assuming that all decode
    // at the same pace.
    static std::uint64_t peak(std::vector<Job> list)
    {
        std::sort(list.begin(), list.end(),
                  [](const Job &a, const Job &b) { return a.remaining < b.remaining; });
        std::uint64_t size = 0;
        for (const Job &job : list)
            size += job.size;
        std::uint64_t highest = size;
        std::uint64_t elapsed = 0;
        std::uint64_t alive = list.size();
        for (const Job &job : list) {
            size += alive * (job.remaining - elapsed);
            elapsed = job.remaining;
            highest = std::max(highest, size);
            size -= job.size + job.remaining;
            --alive;
        }
        return highest;
    }
};

std::shared_ptr<OracleBoard> makeOracleBoard()
{
    return std::make_shared<OracleBoard>();
}

namespace {

class OraclePolicy final : public SimplePolicy
{
public:
    OraclePolicy(const Clock &clockSource, PlacementListener &placementListener,
                 std::shared_ptr<OracleBoard> shared)
        : SimplePolicy(clockSource, placementListener)
        , board(std::move(shared))
    {
        assert(this->board && "the oracle requires the board of its fleet");
    }

    void progress(std::uint64_t id, std::uint32_t producedTokens) override
    {
        SimplePolicy::progress(id, producedTokens);
        const auto at = this->locations.find(id);
        if (at == this->locations.end())
            return;
        for (OracleBoard::Job &job : this->board->jobs[at->second.engine]) {
            if (job.id != id)
                continue;
            job.size = at->second.promptTokens + producedTokens;
            job.remaining =
                    at->second.length > producedTokens ? at->second.length - producedTokens : 0;
        }
    }

    void departed(std::uint64_t id, Departure how, std::uint32_t producedTokens) override
    {
        SimplePolicy::departed(id, how, producedTokens);
        const auto at = this->locations.find(id);
        if (at == this->locations.end())
            return;
        std::erase_if(this->board->jobs[at->second.engine],
                      [id](const OracleBoard::Job &job) { return job.id == id; });
        this->locations.erase(at);
    }

protected:
    EngineState *choose(const GenerationRequest &request,
                        std::span<EngineState *const> usable) override
    {
        EngineState *best = nullptr;
        double bestLoad = std::numeric_limits<double>::max();
        const OracleBoard::Job job{request.id, request.promptTokens, request.trueLength};
        for (EngineState *engine : usable) {
            std::vector<OracleBoard::Job> jobs = this->board->jobs[engine->spec.name];
            const std::size_t running = jobs.size();
            jobs.push_back(job);
            const std::uint64_t peak = OracleBoard::peak(std::move(jobs));
            if (peak > engine->spec.memoryTokens || running >= engine->spec.slots)
                continue;
            const double load =
                    static_cast<double>(peak) / static_cast<double>(engine->spec.memoryTokens);
            if (load < bestLoad) {
                best = engine;
                bestLoad = load;
            }
        }
        if (best == nullptr)
            return nullptr;
        this->board->jobs[best->spec.name].push_back(job);
        this->locations[request.id] = {best->spec.name, request.promptTokens, request.trueLength};
        return best;
    }

private:
    struct Location
    {
        std::string engine;
        std::uint32_t promptTokens = 0;
        std::uint32_t length = 0;
    };

    std::shared_ptr<OracleBoard> board;
    std::unordered_map<std::uint64_t, Location> locations;
};

} // namespace

std::unique_ptr<PlacementPolicy> makeBaseline(Baseline kind, const Clock &clock, std::uint64_t seed,
                                              PlacementListener &listener,
                                              std::shared_ptr<OracleBoard> board)
{
    switch (kind) {
    case Baseline::RoundRobin:
        return std::make_unique<RoundRobinPolicy>(clock, listener);
    case Baseline::LeastOutstanding:
        return std::make_unique<LeastOutstandingPolicy>(clock, listener, seed);
    case Baseline::PowerOfTwo:
        return std::make_unique<PowerOfTwoPolicy>(clock, listener, seed);
    case Baseline::StaticThreshold:
        return std::make_unique<StaticThresholdPolicy>(clock, listener, seed);
    case Baseline::Oracle:
        return std::make_unique<OraclePolicy>(clock, listener, std::move(board));
    }
    return nullptr;
}

std::string_view baselineName(Baseline kind)
{
    switch (kind) {
    case Baseline::RoundRobin:
        return "round_robin";
    case Baseline::LeastOutstanding:
        return "least_outstanding";
    case Baseline::PowerOfTwo:
        return "power_of_two";
    case Baseline::StaticThreshold:
        return "static_threshold";
    case Baseline::Oracle:
        return "oracle";
    }
    return "";
}

} // namespace jaytrack
