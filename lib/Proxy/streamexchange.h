// A request whose answer is a stream, with the run that makes its events. How it is served stands
// in streamexchange.cpp, how it goes on at other engines in streamhandover.cpp.
#ifndef JAYTRACK_LIB_PROXY_STREAMEXCHANGE_H
#define JAYTRACK_LIB_PROXY_STREAMEXCHANGE_H

#include "jaytrack/Proxy/engineroom.h"
#include "jaytrack/Proxy/exchange.h"
#include "jaytrack/Routing/runplan.h"
#include "jaytrack/Stream/sse.h"

namespace jaytrack {

// Bytes that may wait for a slow caller before reading from the engine pauses.
constexpr std::size_t mostPendingBytes = 128U << 10U;

class StreamExchange;

// One connection to an engine that carries the stream or a part of it.
class StreamLeg final : public TargetCallListener
{
public:
    StreamLeg(std::weak_ptr<StreamExchange> to, TargetEntry at, bool resumes)
        : owner(std::move(to))
        , target(std::move(at))
        , resumed(resumes)
    {
    }

    void onAnswerHead(MessageHead answer) override;
    void onAnswerBody(std::string_view bytes) override;
    void onCallEnd(const TargetCallEnd &end) override;

    std::weak_ptr<StreamExchange> owner;
    TargetEntry target;
    bool resumed;
    std::shared_ptr<TargetCall> call;
    MessageHead head;
    std::string plainBody;
    SseSplitter events;
    bool streaming = false; // the engine answers with events
    TimePoint openedAt;
    std::optional<TimePoint> firstEventAt;
    bool proven = false; // the engine has gone on long enough not to be ended by the run
};

// A call by which an engine is told to copy a run to another one.
class MoveCall final : public TargetCallListener
{
public:
    explicit MoveCall(std::weak_ptr<StreamExchange> to)
        : owner(std::move(to))
    {
    }

    void onAnswerHead(MessageHead head) override;
    void onAnswerBody(std::string_view bytes) override { this->body += bytes; }
    void onCallEnd(const TargetCallEnd &end) override;

    std::weak_ptr<StreamExchange> owner;
    std::shared_ptr<TargetCall> call;
    std::string source; // id of the engine that is asked
    TargetEntry destination;
    int status = 0;
    std::string body;
};

// A request whose answer is a stream of events. The run that makes them may go on at other engines;
// towards the caller it stays one stream, with each event once and in order.
class StreamExchange final : public Exchange
{
public:
    StreamExchange(ExchangeContext &shared, std::shared_ptr<CallerConnection> from,
                   AdmittedRequest given);

    void onTargetLeaving(const TargetEntry &entry, std::string_view reason) override;
    void onDataCentreOutOfUse(std::string_view dataCentre) override;
    void onTargetRestarted(const TargetEntry &ended) override;
    void onCallerWritable() override
    {
        if (this->current && this->current->call &&
            this->caller->pendingBytes() < mostPendingBytes / 2)
            this->current->call->setPaused(false);
    }

    void legHead(StreamLeg &leg);
    void legEvent(StreamLeg &leg, const SseEvent &event);
    void legEnded(StreamLeg &leg, const TargetCallEnd &end);
    void noteOutcome(const StreamLeg &leg, const TargetCallEnd &end);
    void moveHead(const MoveCall &move, const MessageHead &head);
    void moveEnded(MoveCall &move, const TargetCallEnd &end);

protected:
    void attempt() override;
    void cancelCalls() override;
    void describeEnd(std::vector<LogField> &fields) const override;
    bool hasBegunAnswer() const override { return this->answerBegun; }
    bool mayHaveRun() const override
    {
        return this->uncertain || (this->current && this->current->call->bytesSent());
    }

private:
    std::uint32_t expectedOutput() const;

    std::shared_ptr<StreamExchange> self()
    {
        return std::static_pointer_cast<StreamExchange>(this->shared_from_this());
    }

    void begin(const TargetEntry &engine);
    std::shared_ptr<StreamLeg> open(const TargetEntry &target, std::optional<ResumePoint> resume);
    void syncCopy();
    void forgetCopyAt(const std::string &engine);
    std::vector<const TargetEntry *> refuges() const;
    void act();
    void resume(const RunStep &step);
    void makeCopy();
    void askForCopy(const TargetEntry &source, const TargetEntry &destination);
    void ifPermitted(const std::string &target, const std::function<void(bool)> &goOn);
    void orderCopy(const TargetEntry &destination);
    void copyFailed(std::string_view destination);
    void watchSilence();
    void watchPlan();
    void takeOver();
    void dropLeg(std::shared_ptr<StreamLeg> &leg);
    void dropMove();
    std::uint32_t grownSince(std::uint64_t event) const;
    void currentLost(std::string_view reason);
    void nextLost(std::string_view reason);
    void passOnAnswer(StreamLeg &leg);
    bool vouchedNotRun(const StreamLeg &leg, const TargetCallEnd &end) const;
    void notePause();
    void noteProgress(StreamLeg &leg) const;
    void beginAnswer(const MessageHead &head);
    void beginLeg(const StreamLeg &leg);
    void waitForRoom();
    Duration patience() const;
    Duration usableDelay() const;
    std::vector<const TargetEntry *> ownShare(std::vector<const TargetEntry *> engines) const;

    EngineTraits traits;
    GenerationNeed need;
    EngineChoice::Shortage shortage; // of the last choice for this request
    std::shared_ptr<StreamLeg> current;
    std::shared_ptr<StreamLeg> next; // takes over from current
    std::shared_ptr<MoveCall> move;
    EngineRoom room;
    RunPlan plan;
    bool copyAsked = false;            // whether engines that name limits take it is being asked
    std::string permittedAt;           // the engine that takes the run from its copy
    std::string copyHolder;            // the engine whose room for the copy is accounted for
    std::uint64_t eventsBeforeLeg = 0; // passed on before the current engine took the run
    asio::steady_timer overlapTimer;
    asio::steady_timer moveTimer;
    asio::steady_timer planTimer;
    asio::steady_timer roomTimer;
    asio::steady_timer silenceTimer;
    std::uint64_t lastEvent = 0; // the last one that was passed on
    bool answerBegun = false;
    std::string lossReason;
    TimePoint lostAt;       // when the engine of a run that had begun was lost
    bool uncertain = false; // some engine may have worked on the request before the current leg
    int handOvers = 0;
    TimePoint lastEventAt;
    Duration firstEventAfter{-1};   // from the request's arrival
    Duration longestPause{0};       // between two events
    std::uint64_t pausedBefore = 0; // the event that ended the longest pause
};

} // namespace jaytrack

#endif
