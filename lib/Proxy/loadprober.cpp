#include "jaytrack/Proxy/loadprober.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Support/log.h"

namespace jaytrack {

namespace {

constexpr std::chrono::milliseconds answerTimeout{400};
constexpr int okStatus = 200;

// Maximum size of a load report. A report lists the runs of its engine, at about a hundred bytes
// each.
constexpr std::size_t maxReportBytes = 1U << 20U;

} // namespace

class LoadProber::Probe final : public TargetCallListener,
                                public std::enable_shared_from_this<Probe>
{
public:
    Probe(LoadProber &owner, TargetEntry engine)
        : prober(owner)
        , target(std::move(engine))
        , timer(owner.context)
        , addedAt(owner.clock.now())
        , eventIntervals(owner.clock)
    {
    }

    void start()
    {
        // The random delay keeps instances that start together from probing every engine at once.
        std::uniform_int_distribution<std::int64_t> first(0, this->prober.interval.count());
        this->probeAfter(std::chrono::milliseconds(first(this->prober.random)));
    }

    void stop()
    {
        this->timer.cancel();
        if (this->call)
            this->call->cancel();
        this->stopped = true;
    }

private:
    void probeAfter(std::chrono::milliseconds delay)
    {
        this->timer.expires_after(delay);
        this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
            const auto self = weak.lock();
            if (!failure && self && !self->stopped)
                self->probeIfDue();
        });
    }

    void probeIfDue()
    {
        if (this->prober.selfReports.isTargetPaused(this->target.id))
            return this->probeAfter(this->prober.interval);
        if (this->prober.schedule.isDue(this->inputs(), this->limitInterval()))
            return this->probeWhenPermitted();
        this->probeAfter(this->prober.interval);
    }

    // Without a report, the age counts from the listing of the engine for an instance that is told
    // by another. Otherwise a starting instance would probe every engine: 59 probes at each of 195
    // starts. The reporter probes at once.
    ProbeInputs inputs() const
    {
        const EngineChoice::Forecast forecast = this->prober.engines.forecast(this->target.id);
        ProbeInputs inputs;
        inputs.isReporter = this->prober.sharing.isMineToAsk(this->target.id);
        inputs.idleReports = forecast.idleReports;
        inputs.reportAge = forecast.reportAge;
        if (forecast.reportAge < Duration(0))
            inputs.reportAge = inputs.isReporter ? Duration::max() / 2
                                                 : this->prober.clock.now() - this->addedAt;
        return inputs;
    }

    // The interval that the engine's rate limit allows.
    std::chrono::milliseconds limitInterval() const
    {
        return this->prober.limits.probeInterval(this->target.id, this->prober.interval);
    }

    void probeWhenPermitted()
    {
        const auto later = [weak = this->weak_from_this()](const Permit &permit) {
            const auto self = weak.lock();
            if (self && !self->stopped)
                self->onPermit(permit);
        };
        if (const auto permit = this->prober.limits.request(this->target.id, later))
            this->onPermit(*permit);
    }

    void onPermit(const Permit &permit)
    {
        if (permit.granted)
            return this->sendProbe();
        this->probeAfter(this->prober.interval);
    }

    void sendProbe()
    {
        const auto endpoint = parseEndpoint(this->target.address);
        if (!endpoint) {
            logEvent(Severity::Warning, "target_address_unreadable",
                     {{"target", this->target.id},
                      {"address", this->target.address},
                      {"code", static_cast<std::int64_t>(endpoint.error().code)}});
            return;
        }
        TargetRequest request;
        request.endpoint = endpoint.value();
        request.target = this->prober.dialect.loadPath();
        request.headers.push_back({"Host", this->target.address});
        request.connectTimeout = answerTimeout;
        this->status = 0;
        this->body.clear();
        CallContext about;
        about.target = this->target.id;
        about.service = this->target.service;
        about.purpose = CallPurpose::Background;
        about.isNewWork = false;
        this->call = this->prober.calls.start(std::move(request), std::move(about),
                                              this->weak_from_this());
        this->timer.expires_after(answerTimeout);
        this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
            const auto self = weak.lock();
            if (failure || !self || self->stopped)
                return;
            self->call->cancel();
            self->onCallEnd({false, true, "no_answer"});
        });
    }

    void onAnswerHead(MessageHead head) override { this->status = head.status; }

    void onAnswerBody(std::string_view bytes) override
    {
        if (appendWithin(this->body, bytes, maxReportBytes))
            return;
        this->call->cancel();
        this->onCallEnd({false, true, tooLargeReason});
    }

    void onCallEnd(const TargetCallEnd &end) override
    {
        if (this->stopped)
            return;
        this->probeAfter(this->limitInterval());
        Result<EngineLoad> load = this->prober.dialect.decodeLoad(this->body);
        if (!end.whole || this->status != okStatus || !load) {
            this->prober.sharing.onNoLoad(this->target.id);
            return;
        }
        load.value().eventInterval = this->eventIntervals.record(load.value().runs);
        this->prober.sharing.onLoad(this->target.id, load.value());
    }

    LoadProber &prober;
    TargetEntry target;
    asio::steady_timer timer;
    TimePoint addedAt;
    EventIntervalMeter eventIntervals;
    std::shared_ptr<RoutedCall> call;
    int status = 0;
    std::string body;
    bool stopped = false;
};

LoadProber::LoadProber(asio::io_context &loop, TargetCalls &targetCalls, const Clock &time,
                       const Dialect &platform, EngineChoice &engineChoice,
                       LoadSharing &loadSharing, SelfReports &reports, LimitGate &gate,
                       std::mt19937_64 &source, std::chrono::milliseconds timeBetweenProbes)
    : context(loop)
    , calls(targetCalls)
    , clock(time)
    , dialect(platform)
    , engines(engineChoice)
    , sharing(loadSharing)
    , selfReports(reports)
    , limits(gate)
    , random(source)
    , interval(timeBetweenProbes)
    , schedule(timeBetweenProbes)
{
}

void LoadProber::add(const TargetEntry &entry)
{
    if (!this->sharing.isMine(entry.id) || this->probes.count(entry.id) > 0)
        return;
    const auto probe = std::make_shared<Probe>(*this, entry);
    this->probes.emplace(entry.id, probe);
    probe->start();
}

void LoadProber::remove(std::string_view id)
{
    const auto found = this->probes.find(id);
    if (found == this->probes.end())
        return;
    found->second->stop();
    this->probes.erase(found);
}

void LoadProber::reassign(std::span<const TargetEntry *const> candidates)
{
    std::erase_if(this->probes, [this](const auto &entry) {
        const bool mine = this->sharing.isMine(entry.first);
        if (!mine)
            entry.second->stop();
        return !mine;
    });
    for (const TargetEntry *engine : candidates)
        this->add(*engine);
}

} // namespace jaytrack
