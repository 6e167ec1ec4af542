#include "incarnationcheck.h"

#include "jaytrack/Net/socket.h"

#include <utility>

namespace jaytrack {

namespace {

// A caller waits for the events of its stream meanwhile. Engines answer within milliseconds.
constexpr std::chrono::milliseconds answerTimeout{400};

constexpr int okStatus = 200;

// Maximum size of a load report.
constexpr std::size_t maxReportBytes = 1U << 20U;

} // namespace

IncarnationCheck::IncarnationCheck(ExchangeContext &shared, TargetEntry engine, Done whenDone)
    : context(shared)
    , target(std::move(engine))
    , done(std::move(whenDone))
    , timer(shared.loop)
{
}

void IncarnationCheck::start(ExchangeContext &shared, const TargetEntry &engine, CallContext about,
                             Done done)
{
    const auto check = std::make_shared<IncarnationCheck>(shared, engine, std::move(done));
    check->self = check;
    check->send(std::move(about));
}

void IncarnationCheck::send(CallContext about)
{
    const auto endpoint = parseEndpoint(this->target.address);
    if (!endpoint)
        return this->conclude(IncarnationVerdict::NoAnswer, unknownStart);
    TargetRequest request;
    request.endpoint = endpoint.value();
    request.target = this->context.dialect.loadPath();
    request.headers.push_back({"Host", this->target.address});
    this->context.limits.countSent(this->target.id);
    this->call =
            this->context.calls.start(std::move(request), std::move(about), this->weak_from_this());
    this->timer.expires_after(answerTimeout);
    this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
        const auto check = weak.lock();
        if (!failure && check)
            check->conclude(IncarnationVerdict::NoAnswer, unknownStart);
    });
}

void IncarnationCheck::onAnswerBody(std::string_view bytes)
{
    if (!appendWithin(this->body, bytes, maxReportBytes))
        this->conclude(IncarnationVerdict::NoAnswer, unknownStart);
}

IncarnationVerdict IncarnationCheck::evaluate(const EngineLoad &load) const
{
    const bool isListed =
            load.startedAt == unknownStart || load.startedAt == this->target.startedAt;
    return isListed ? IncarnationVerdict::Listed : IncarnationVerdict::Another;
}

void IncarnationCheck::onCallEnd(const TargetCallEnd &end)
{
    if (!end.whole || this->status != okStatus)
        return this->conclude(IncarnationVerdict::NoAnswer, unknownStart);
    const Result<EngineLoad> load = this->context.dialect.decodeLoad(this->body);
    if (!load)
        return this->conclude(IncarnationVerdict::NoAnswer, unknownStart);
    this->conclude(this->evaluate(load.value()), load.value().startedAt);
}

void IncarnationCheck::conclude(IncarnationVerdict verdict, StartTime startedAt)
{
    const auto keepAlive = std::exchange(this->self, nullptr);
    if (!keepAlive)
        return;
    this->timer.cancel();
    if (this->call)
        this->call->cancel();
    this->done(verdict, startedAt);
}

} // namespace jaytrack
