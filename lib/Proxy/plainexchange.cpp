#include "jaytrack/Proxy/exchange.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Support/metrics.h"

#include <algorithm>

namespace jaytrack {

namespace {

// An idempotent request is given to a second target once the first has taken twice the objective:
// an engine that hangs would otherwise cost the caller its whole deadline. The least keeps the tail
// of ordinary work (five times its mean) from being repeated.
constexpr int objectivesPerTry = 2;
constexpr std::chrono::milliseconds leastTry{250};

// Answers larger than this are not buffered; plain services answer with a few kilobytes.
constexpr std::size_t mostAnswerBytes = 8U << 20U;

constexpr int serverErrorStatus = 500;

// A request with one answer. The answer is taken whole before any of it is passed on, so that a
// broken one can be replaced by an honest failure, or by another target's if it may run again.
class PlainExchange final : public Exchange, public TargetCallListener
{
public:
    PlainExchange(ExchangeContext &shared, std::shared_ptr<CallerConnection> from,
                  AdmittedRequest given)
        : Exchange(shared, std::move(from), std::move(given))
        , tryTimer(shared.loop)
    {
    }

    void onTargetLeaving(const TargetEntry &, std::string_view) override {}
    void onDataCentreOutOfUse(std::string_view) override {}

    // Its connection tells by itself: an answer may still come from the new life.
    void onTargetRestarted(const TargetEntry &) override {}
    void onCallerWritable() override {}

protected:
    void attempt() override
    {
        const std::vector<const TargetEntry *> targets = this->untried();
        std::vector<std::string_view> names;
        names.reserve(targets.size());
        for (const TargetEntry *entry : targets)
            names.push_back(entry->id);
        if (names.empty() && this->failedAnswer)
            return this->passOnFailure();
        if (names.empty() && this->shortestRest())
            return this->refuseUntilRested();
        const int chosen = names.empty() ? -1 : this->context.health.choose(names);
        if (chosen < 0)
            return this->giveUp(names.empty() ? ResultCode::NoTarget : ResultCode::Overloaded,
                                this->lackOfTargets());
        this->whenPermitted(*targets[static_cast<std::size_t>(chosen)],
                            [this](const TargetEntry &entry) { this->send(entry); });
    }

    void cancelCalls() override
    {
        this->tryTimer.cancel();
        this->endCall(false);
    }

    bool mayHaveRun() const override
    {
        return this->uncertain || (this->call && this->call->bytesSent());
    }

private:
    void send(const TargetEntry &entry)
    {
        const auto endpoint = parseEndpoint(entry.address);
        this->tried.insert(entry.id);
        if (!endpoint)
            return this->attempt();
        this->target = entry;
        this->answer = {};
        this->body.clear();
        this->failedAnswer = false;
        this->sentAt = this->context.clock.now();
        this->context.health.began(entry.id, entry.service);
        this->context.cold.recordSend(entry.id);
        this->logDecision("request_sent",
                          {{"target", entry.id},
                           {"address", entry.address},
                           {"digest", this->digest()},
                           {"try", this->sends + 1},
                           {"left_ms", static_cast<std::int64_t>(this->timeLeft().count())}});
        TargetRequest made = this->makeRequest(entry, {}, endpoint.value());
        made.connectTimeout = std::clamp(this->timeLeft() / 3, std::chrono::milliseconds(50),
                                         std::chrono::milliseconds(500));
        const auto self = std::static_pointer_cast<PlainExchange>(this->shared_from_this());
        this->call = TargetCall::start(this->context.loop, std::move(made),
                                       std::weak_ptr<TargetCallListener>(self));
        this->watchTry();
    }

    void watchTry()
    {
        if (!mayRunAgain(this->route().kind) || this->runs + 1 >= this->route().maxAttempts)
            return;
        this->tryTimer.expires_after(
                std::max(this->route().objective * objectivesPerTry, leastTry));
        this->tryTimer.async_wait([self = this->shared_from_this(),
                                   this](const asio::error_code &failure) {
            if (failure || this->isFinished() || !this->mayReplaceSlowTry() ||
                !this->context.retries.take(this->serviceName))
                return;
            ++this->sends;
            ++this->runs;
            this->uncertain = this->uncertain || this->call->bytesSent();
            this->endCall(true);
            this->logDecision("request_retried", {{"reason", "slow"}, {"target", this->target.id}});
            this->attempt();
        });
    }

    // A target that names a limit may turn the second try down when the first one has been ended.
    bool mayReplaceSlowTry() const
    {
        const auto targets = this->untried();
        return std::any_of(targets.begin(), targets.end(), [this](const TargetEntry *entry) {
            return !this->context.limits.limitOf(entry->id);
        });
    }

    void onAnswerHead(MessageHead head) override
    {
        this->answer = std::move(head);
        this->context.selfReports.hearServed(this->target.id, this->answer,
                                             this->context.clock.now() - this->sentAt);
    }

    void onAnswerBody(std::string_view bytes) override
    {
        if (this->body.size() + bytes.size() > mostAnswerBytes) {
            this->uncertain = true;
            this->endCall(false);
            return this->answerOwn(ResultCode::TargetGarbled, "answer_too_large");
        }
        this->body += bytes;
    }

    void onCallEnd(const TargetCallEnd &end) override
    {
        this->tryTimer.cancel();
        const bool sent = end.bytesSent;
        const AnswerFacts said =
                this->context.dialect.describeAnswer(this->answer.status, this->answer.headers);
        const bool ours = said.attemptId.empty() || said.attemptId == this->facts().attemptId;
        const bool good = end.whole && ours;
        const bool refused = good && said.notExecuted;
        this->sends += sent ? 1 : 0;
        this->runs += sent && !refused ? 1 : 0;
        const bool failedHere = !good || this->answer.status >= serverErrorStatus;
        this->endCall(refused ? said.misdirected : failedHere);
        if (refused)
            return this->retryOr(ResultCode::TargetFull, "refused_by_target");
        if (!sent)
            return this->retryOr(ResultCode::TargetUnreachable, end.reason);
        if (good && !refused)
            this->noteRanWell();
        if (good && this->answer.status < serverErrorStatus)
            return this->answerWhole(this->answer, this->body, this->target.id);
        this->uncertain = true;
        if (end.lostConnection && this->answer.status == 0)
            this->noteLostUnanswered(this->target, this->sentAt);
        if (good)
            return this->retryOrPassOn();
        this->retryOr(ours ? ResultCode::TargetLost : ResultCode::TargetGarbled,
                      ours ? end.reason : "answer_to_another_request");
    }

    bool mayRetry()
    {
        if (this->uncertain && !mayRunAgain(this->route().kind))
            return false;
        return this->runs < this->route().maxAttempts && !this->untried().empty();
    }

    void retryOr(ResultCode code, std::string_view reason)
    {
        // A connection that was never made is no repeat for the service and costs no budget.
        if (this->mayRetry() && (code == ResultCode::TargetUnreachable ||
                                 this->context.retries.take(this->serviceName))) {
            this->logDecision("request_retried", {{"reason", reason}, {"target", this->target.id}});
            return this->attempt();
        }
        this->giveUp(code, reason);
    }

    void retryOrPassOn()
    {
        if (this->mayRetry() && this->context.retries.take(this->serviceName)) {
            this->logDecision("request_retried",
                              {{"reason", "failed_by_target"}, {"target", this->target.id}});
            this->failedAnswer = true;
            return this->attempt();
        }
        this->passOnFailure();
    }

    // The target's own failure is what the caller gets if no other target takes the request.
    void passOnFailure() { this->answerWhole(this->answer, this->body, this->target.id); }

    // A refusal says "not run", which must hold for every target that was tried.
    void giveUp(ResultCode code, std::string_view reason)
    {
        const bool refusal = describe(code).outcome == Outcome::NotRun;
        this->answerOwn(refusal && this->uncertain ? ResultCode::TargetLost : code, reason);
    }

    void endCall(bool failed)
    {
        if (!this->call)
            return;
        this->call->cancel();
        this->call.reset();
        this->context.health.ended(this->target.id, failed,
                                   this->context.clock.now() - this->sentAt);
    }

    asio::steady_timer tryTimer;
    std::shared_ptr<TargetCall> call;
    TargetEntry target;
    TimePoint sentAt;
    MessageHead answer;
    std::string body;
    bool failedAnswer =
            false;          // the answer at hand is a failure, in place of which another is sought
    bool uncertain = false; // some target may have run the request
};

} // namespace

std::shared_ptr<Exchange> makePlainExchange(ExchangeContext &context,
                                            std::shared_ptr<CallerConnection> caller,
                                            AdmittedRequest admitted)
{
    return std::make_shared<PlainExchange>(context, std::move(caller), std::move(admitted));
}

} // namespace jaytrack
