#include "jaytrack/Proxy/exchange.h"

#include "jaytrack/Net/socket.h"
#include "jaytrack/Quarantine/requestdigest.h"
#include "jaytrack/Support/metrics.h"

#include <algorithm>

namespace jaytrack {

namespace {

// An idempotent request is sent to a second target once the first has taken twice the objective;
// otherwise a target that hangs would use up the caller's whole deadline. The minimum keeps the
// slowest ordinary requests (five times the mean) from being repeated.
constexpr int attemptTimeoutObjectives = 2;
constexpr std::chrono::milliseconds minAttemptTimeout{250};

// Larger answers are not buffered and fail the attempt; plain services answer with a few kilobytes.
constexpr std::size_t maxAnswerBytes = 8U << 20U;

constexpr int serverErrorStatus = 500;

// The answers that are being received occupy all memory that they may.
constexpr std::string_view noMemoryReason = "no_memory_for_answer";

// A request with a single, non-streaming answer. The answer is buffered completely before it is
// forwarded, so that a broken answer can be replaced by an error or, if the request may run again,
// by another target's answer.
class PlainExchange final : public Exchange, public TargetCallListener
{
public:
    PlainExchange(ExchangeContext &shared, std::shared_ptr<CallerConnection> connection,
                  AdmittedRequest admittedRequest)
        : Exchange(shared, std::move(connection), std::move(admittedRequest))
        , attemptTimer(shared.loop)
        , bodyMemory(shared.answerMemory)
    {
    }

    void onTargetLeaving(const TargetEntry &, std::string_view) override {}
    void onDataCentreOutOfUse(std::string_view) override {}

    // The connection itself reports a loss; the restarted target may still answer the request.
    void onTargetRestarted(const TargetEntry &) override {}
    void onCallerWritable() override {}

protected:
    void attempt() override
    {
        if (this->finishIfBarred())
            return;
        const std::vector<const TargetEntry *> targets = this->untriedTargets();
        std::vector<std::string_view> names;
        names.reserve(targets.size());
        for (const TargetEntry *entry : targets)
            names.push_back(entry->id);
        if (names.empty() && this->failedAnswer)
            return this->forwardFailure();
        if (names.empty() && this->shortestPause())
            return this->refuseAllPaused();
        const int chosen = names.empty() ? -1 : this->context.health.choose(names);
        if (chosen < 0)
            return this->giveUp(names.empty() ? ResultCode::NoTarget : ResultCode::Overloaded,
                                this->noTargetReason());
        this->sendWhenPermitted(*targets[static_cast<std::size_t>(chosen)],
                                [this](const TargetEntry &entry) { this->send(entry); });
    }

    void cancelCalls() override
    {
        this->attemptTimer.cancel();
        this->endCall(false);
    }

    const TargetEntry *currentTarget() const override
    {
        return this->call ? &this->target : nullptr;
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
        this->judgement = {};
        this->dropBody();
        this->failedAnswer = false;
        this->sentAt = this->context.clock.now();
        this->context.health.began(entry.id, entry.service);
        this->context.cold.recordSend(entry.id);
        this->logDecision("request_sent",
                          {{"target", entry.id},
                           {"address", entry.address},
                           {"digest", this->digest()},
                           {"parts", describeParts(this->parts())},
                           {"try", this->sends + 1},
                           {"left_ms", static_cast<std::int64_t>(this->timeLeft().count())}});
        TargetRequest outgoing = this->makeRequest(entry, {}, endpoint.value());
        outgoing.connectTimeout = std::clamp(this->timeLeft() / 3, std::chrono::milliseconds(50),
                                             std::chrono::milliseconds(500));
        const auto self = std::static_pointer_cast<PlainExchange>(this->shared_from_this());
        this->call = this->context.calls.start(std::move(outgoing), this->callContext(entry, true),
                                               std::weak_ptr<TargetCallListener>(self));
        this->watchAttempt();
    }

    void watchAttempt()
    {
        if (!mayRunAgain(this->route().kind) || this->runs + 1 >= this->route().maxAttempts)
            return;
        this->attemptTimer.expires_after(
                std::max(this->route().objective * attemptTimeoutObjectives, minAttemptTimeout));
        this->attemptTimer.async_wait(
                [self = this->shared_from_this(), this](const asio::error_code &failure) {
                    if (failure || this->isFinished() || !this->mayReplaceSlowAttempt())
                        return;
                    this->requestRetry([this, slow = this->call](bool granted) {
                        if (granted && this->call == slow)
                            this->replaceSlowAttempt();
                    });
                });
    }

    void replaceSlowAttempt()
    {
        ++this->sends;
        ++this->runs;
        this->uncertain = this->uncertain || this->call->bytesSent();
        this->endCall(true);
        this->logDecision("request_retried", {{"reason", "slow"}, {"target", this->target.id}});
        this->attempt();
    }

    // A target with a rate limit may refuse the second attempt after the first has been cancelled,
    // so a slow attempt is only replaced if some untried target has no limit.
    bool mayReplaceSlowAttempt() const
    {
        const auto targets = this->untriedTargets();
        return std::any_of(targets.begin(), targets.end(), [this](const TargetEntry *entry) {
            return !this->context.limits.limitOf(entry->id);
        });
    }

    void onAnswerHead(MessageHead head) override
    {
        this->answer = std::move(head);
        this->judgement = this->judge(this->answer);
        if (this->judgement.meaning == AnswerMeaning::Unusable)
            return this->abandonAnswer(this->judgement.reason);
        this->context.selfReports.recordServedAnswer(this->target.id, this->answer,
                                                     this->context.clock.now() - this->sentAt);
    }

    void onAnswerBody(std::string_view bytes) override
    {
        if (!appendWithin(this->body, bytes, maxAnswerBytes))
            return this->abandonAnswer(tooLargeReason);
        if (!this->bodyMemory.resize(this->body.size()))
            this->abandonAnswer(noMemoryReason);
    }

    // Ends the call, because what the target sends cannot be given to the caller.
    void abandonAnswer(std::string_view reason)
    {
        this->attemptTimer.cancel();
        ++this->sends;
        ++this->runs;
        this->uncertain = true;
        this->endCall(true);
        this->dropBody();
        this->retryOr(ResultCode::TargetGarbled, reason);
    }

    void dropBody()
    {
        this->body = {};
        this->bodyMemory.resize(0);
    }

    void onCallEnd(const TargetCallEnd &end) override
    {
        this->attemptTimer.cancel();
        const bool sent = end.bytesSent;
        const AnswerMeaning meaning = end.whole ? this->judgement.meaning : AnswerMeaning::Unusable;
        const bool valid = meaning == AnswerMeaning::Served || meaning == AnswerMeaning::Failed;
        const bool refused = meaning == AnswerMeaning::NotRun;
        this->sends += sent ? 1 : 0;
        this->runs += sent && !refused ? 1 : 0;
        const bool failedHere = !valid || this->answer.status >= serverErrorStatus;
        this->endCall(refused ? this->wasMisdirected() : failedHere);
        if (refused)
            return this->retryOr(ResultCode::TargetFull, "refused_by_target");
        if (!sent)
            return this->retryOr(ResultCode::TargetUnreachable, end.reason);
        if (valid) {
            this->reportSafeRun(this->target, this->sentAt);
            this->context.brittle.recordServed(this->target.service, this->target.slots,
                                               this->context.clock.now() - this->sentAt);
        }
        if (valid && this->answer.status < serverErrorStatus)
            return this->forwardAnswer(this->answer, this->body, this->target.id);
        this->uncertain = true;
        if (valid)
            return this->retryOrForwardFailure();
        const bool unanswered = end.lostConnection && this->answer.status == 0;
        if (unanswered)
            this->reportLostUnanswered(this->target, this->sentAt);
        if (unanswered && this->mayRetry() && this->mayCrashOthers(this->target))
            return this->retryAfterVerdict(end.reason);
        this->retryOr(ResultCode::TargetLost, end.reason);
    }

    bool wasMisdirected() const
    {
        return this->context.dialect.describeAnswer(this->answer.status, this->answer.headers)
                .misdirected;
    }

    // The lost target may have crashed because of a part of the prompt.
    void retryAfterVerdict(std::string_view reason)
    {
        this->attemptTimer.expires_after(verdictDelay);
        this->attemptTimer.async_wait(
                [self = this->shared_from_this(), this,
                 reason = std::string(reason)](const asio::error_code &failure) {
                    if (!failure && !this->isFinished() && !this->finishIfBarred())
                        this->retryOr(ResultCode::TargetLost, reason);
                });
    }

    bool mayRetry()
    {
        if (this->uncertain && !mayRunAgain(this->route().kind))
            return false;
        return this->runs < this->route().maxAttempts && !this->untriedTargets().empty();
    }

    void retryOr(ResultCode code, std::string_view reason)
    {
        if (!this->mayRetry())
            return this->giveUp(code, reason);
        // If no connection was made, the service did not receive the request, so trying another
        // target is not charged to the retry budget.
        if (code == ResultCode::TargetUnreachable)
            return this->retry(reason);
        this->requestRetry([this, code, reason = std::string(reason)](bool granted) {
            if (!granted)
                return this->giveUp(code, reason);
            this->retry(reason);
        });
    }

    void retryOrForwardFailure()
    {
        if (!this->mayRetry())
            return this->forwardFailure();
        this->requestRetry([this](bool granted) {
            if (!granted)
                return this->forwardFailure();
            this->failedAnswer = true;
            this->retry("failed_by_target");
        });
    }

    void retry(std::string_view reason)
    {
        this->logDecision("request_retried", {{"reason", reason}, {"target", this->target.id}});
        this->attempt();
    }

    // Forwards the target's own failure answer, because the request is not retried at another
    // target.
    void forwardFailure() { this->forwardAnswer(this->answer, this->body, this->target.id); }

    // A refusal has the outcome "not run", which must be true of every target that was tried.
    void giveUp(ResultCode code, std::string_view reason)
    {
        const bool refusal = describe(code).outcome == Outcome::NotRun;
        this->answerWithResult(refusal && this->uncertain ? ResultCode::TargetLost : code, reason);
    }

    void endCall(bool failed)
    {
        if (!this->call)
            return;
        const bool blameless = !this->call->bytesSent() && !this->isTargetsFault();
        this->call->cancel();
        this->call.reset();
        if (blameless)
            return this->context.health.abandoned(this->target.id);
        this->context.health.ended(this->target.id, failed,
                                   this->context.clock.now() - this->sentAt);
    }

    // Whether a request that was not sent may count against the target: not if this instance has
    // lost its link, or the target closed to new work meanwhile.
    bool isTargetsFault() const
    {
        return !this->context.calls.isLost(this->target.id, this->target.service) &&
               this->isAllowed(this->target);
    }

    asio::steady_timer attemptTimer;
    std::shared_ptr<RoutedCall> call;
    TargetEntry target;
    TimePoint sentAt;
    MessageHead answer;
    AnswerJudgement judgement; // of the answer, once its head has arrived
    std::string body;
    AnswerMemory::Holding bodyMemory;
    bool failedAnswer = false; // the buffered answer is a failure; another target is being tried
    bool uncertain = false;    // an earlier target may have run the request
};

} // namespace

std::shared_ptr<Exchange> makePlainExchange(ExchangeContext &context,
                                            std::shared_ptr<CallerConnection> caller,
                                            AdmittedRequest admitted)
{
    return std::make_shared<PlainExchange>(context, std::move(caller), std::move(admitted));
}

} // namespace jaytrack
