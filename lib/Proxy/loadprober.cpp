#include "jaytrack/Proxy/loadprober.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Support/log.h"

namespace jaytrack {

namespace {

constexpr std::chrono::milliseconds answerBound{400};
constexpr int okStatus = 200;

} // namespace

class LoadProber::Probe final : public TargetCallListener,
                                public std::enable_shared_from_this<Probe>
{
public:
    Probe(LoadProber &owner, TargetEntry at)
        : prober(owner)
        , target(std::move(at))
        , timer(owner.context)
        , addedAt(owner.clock.now())
    {
    }

    void start()
    {
        // Instances that start together would otherwise ask every engine in the same instant.
        std::uniform_int_distribution<std::int64_t> first(0, this->prober.gap.count());
        this->askAfter(std::chrono::milliseconds(first(this->prober.random)));
    }

    void stop()
    {
        this->timer.cancel();
        if (this->call)
            this->call->cancel();
        this->stopped = true;
    }

private:
    void askAfter(std::chrono::milliseconds delay)
    {
        this->timer.expires_after(delay);
        this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
            const auto self = weak.lock();
            if (!failure && self && !self->stopped)
                self->askIfDue();
        });
    }

    void askIfDue()
    {
        if (this->prober.selfReports.wantsRest(this->target.id))
            return this->askAfter(this->prober.gap);
        if (!this->prober.sharing.isMine(this->target.id)) {
            this->addedAt = this->prober.clock.now();
            return this->askAfter(lookAgain);
        }
        // A report that never came is as old as the listing: an instance that starts would
        // otherwise ask every engine, 59 questions at each of 195 starts.
        const Duration told = this->prober.engines.forecast(this->target.id).reportAge;
        const Duration age = told < Duration(0) ? this->prober.clock.now() - this->addedAt : told;
        const bool overdue = age > askAnyway + this->ownGap() - this->prober.gap;
        if (overdue || this->prober.sharing.isMineToAsk(this->target.id))
            return this->askIfPermitted();
        this->askAfter(this->prober.gap);
    }

    std::chrono::milliseconds ownGap() const
    {
        return this->prober.limits.probeInterval(this->target.id, this->prober.gap);
    }

    void askIfPermitted()
    {
        const auto later = [weak = this->weak_from_this()](const Permit &permit) {
            const auto self = weak.lock();
            if (self && !self->stopped)
                self->goOnWith(permit);
        };
        if (const auto permit = this->prober.limits.request(this->target.id, later))
            this->goOnWith(*permit);
    }

    void goOnWith(const Permit &permit)
    {
        if (permit.granted)
            return this->ask();
        this->askAfter(this->prober.gap);
    }

    void ask()
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
        request.connectTimeout = answerBound;
        this->status = 0;
        this->body.clear();
        this->call =
                TargetCall::start(this->prober.context, std::move(request), this->weak_from_this());
        this->timer.expires_after(answerBound);
        this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
            const auto self = weak.lock();
            if (failure || !self || self->stopped)
                return;
            self->call->cancel();
            self->onCallEnd({false, true, "no_answer"});
        });
    }

    void onAnswerHead(MessageHead head) override
    {
        this->status = head.status;
        this->prober.selfReports.hear(this->target.id, head);
    }
    void onAnswerBody(std::string_view bytes) override { this->body += bytes; }

    void onCallEnd(const TargetCallEnd &end) override
    {
        if (this->stopped)
            return;
        this->askAfter(this->ownGap());
        const Result<EngineLoad> load = this->prober.dialect.decodeLoad(this->body);
        if (!end.whole || this->status != okStatus || !load) {
            this->prober.sharing.onNoLoad(this->target.id);
            return;
        }
        this->prober.sharing.onLoad(this->target.id, load.value());
    }

    LoadProber &prober;
    TargetEntry target;
    asio::steady_timer timer;
    TimePoint addedAt;
    std::shared_ptr<TargetCall> call;
    int status = 0;
    std::string body;
    bool stopped = false;
};

LoadProber::LoadProber(asio::io_context &loop, const Clock &time, const Dialect &words,
                       EngineChoice &told, LoadSharing &shared, SelfReports &heard, LimitGate &gate,
                       std::mt19937_64 &source, std::chrono::milliseconds askGap)
    : context(loop)
    , clock(time)
    , dialect(words)
    , engines(told)
    , sharing(shared)
    , selfReports(heard)
    , limits(gate)
    , random(source)
    , gap(askGap)
{
}

void LoadProber::add(const TargetEntry &entry)
{
    if (this->probes.count(entry.id) > 0)
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

} // namespace jaytrack
