// A request whose answer is an event stream, and the engine run that generates the events. Serving
// is implemented in streamexchange.cpp, taking up a stream of an earlier attempt in
// streamtakeup.cpp, and moving the run to other engines in streamhandover.cpp.
#ifndef JAYTRACK_LIB_PROXY_STREAMEXCHANGE_H
#define JAYTRACK_LIB_PROXY_STREAMEXCHANGE_H

#include "jaytrack/Proxy/enginereservations.h"
#include "jaytrack/Proxy/exchange.h"
#include "jaytrack/Routing/runplan.h"
#include "jaytrack/Stream/sse.h"

#include "incarnationcheck.h"

namespace jaytrack {

// Maximum bytes buffered for a slow caller before reading from the engine is paused.
constexpr std::size_t maxPendingBytes = 128U << 10U;

class StreamExchange;

// Returns a fraction in percent, as log lines show it.
std::int64_t toPercent(double part);

// One connection to an engine, which carries the stream or a part of it.
class StreamLeg final : public TargetCallListener
{
public:
    StreamLeg(std::weak_ptr<StreamExchange> exchange, TargetEntry engine,
              const std::optional<ResumePoint> &resume, AnswerMemory &answerMemory)
        : owner(std::move(exchange))
        , target(std::move(engine))
        , resumed(resume.has_value())
        , usedHandle(resume ? resume->handle : std::string())
        , memory(answerMemory)
    {
    }

    void onAnswerHead(MessageHead answer) override;
    void onAnswerBody(std::string_view bytes) override;
    void onCallEnd(const TargetCallEnd &end) override;
    void abandon(StreamExchange &exchange, std::string_view reason);

    // Whether a stream whose connection ended in order is not whole: it ended inside an event, or,
    // where only the connection marks the end, before any event. An engine that crashes closes its
    // connections in order, too.
    bool endsEarly() const
    {
        const bool hasNoEvent = this->streaming && !this->head.framed && !this->firstEventAt;
        return this->events.hasPartialEvent() || hasNoEvent;
    }

    std::weak_ptr<StreamExchange> owner;
    TargetEntry target;
    bool resumed;
    std::string usedHandle; // of the copy with which the run was resumed here
    std::shared_ptr<RoutedCall> call;
    MessageHead head;
    std::string plainBody;
    SseSplitter events;
    AnswerMemory::Holding memory; // of the two
    bool streaming = false;       // the engine answers with an event stream
    TimePoint openedAt;
    std::optional<TimePoint> firstEventAt;
    bool pausedTooLong = false;   // between two of its events, for longer than the route allows
    bool waitedForCaller = false; // reading was paused because the caller read slowly
    bool restarted = false;       // another incarnation of the engine was listed or reported since
    bool proven = false; // the engine ran long enough that the run is not blamed for a crash
};

// A call that tells an engine to copy a run to another engine.
class MoveCall final : public TargetCallListener
{
public:
    explicit MoveCall(std::weak_ptr<StreamExchange> exchange)
        : owner(std::move(exchange))
    {
    }

    void onAnswerHead(MessageHead head) override;
    void onAnswerBody(std::string_view bytes) override;
    void onCallEnd(const TargetCallEnd &end) override;

    std::weak_ptr<StreamExchange> owner;
    std::shared_ptr<RoutedCall> call;
    TargetEntry destination;
    TimePoint startedAt;
    int status = 0;
    std::string body;
};

// A request whose answer is a stream of events. The run that generates them may continue at other
// engines; the caller receives a single stream with each event once and in order.
class StreamExchange final : public Exchange
{
public:
    StreamExchange(ExchangeContext &shared, std::shared_ptr<CallerConnection> connection,
                   AdmittedRequest admittedRequest);

    void onTargetLeaving(const TargetEntry &entry, std::string_view reason) override;
    void onDataCentreOutOfUse(std::string_view dataCentre) override;
    void onTargetRestarted(const TargetEntry &ended) override;
    void onCallerWritable() override
    {
        if (this->current && this->current->call &&
            this->caller->pendingBytes() < maxPendingBytes / 2)
            this->current->call->setPaused(false);
    }

    void legHead(StreamLeg &leg);
    void legEvent(StreamLeg &leg, const SseEvent &event);
    void legEnded(StreamLeg &leg, const TargetCallEnd &end);
    void recordOutcome(const StreamLeg &leg, const TargetCallEnd &end);
    void moveEnded(MoveCall &move, const TargetCallEnd &end);

protected:
    void attempt() override;
    void cancelCalls() override;
    void describeEnd(std::vector<LogField> &fields) const override;
    bool hasBegunAnswer() const override { return this->answerBegun; }
    bool acceptsVersion(std::string_view version) const override
    {
        return !this->versionUnclear && (!this->streamVersion || *this->streamVersion == version);
    }
    const TargetEntry *currentTarget() const override
    {
        return this->current ? &this->current->target : nullptr;
    }
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
    void beginAtListed(const TargetEntry &engine);
    void onIncarnationChecked(const TargetEntry &engine, IncarnationVerdict verdict,
                              StartTime startedAt);
    void recordVersionOf(const StreamLeg &leg);
    std::shared_ptr<StreamLeg> open(const TargetEntry &target, std::optional<ResumePoint> resume);
    void updateCopyReservation();
    void discardCopyAt(const std::string &engine);
    std::vector<const TargetEntry *> copyDestinations() const;
    void executeNextStep();
    void startAnew();
    void startAnewAfter(Duration pause);
    void resume(const RunStep &step);
    GenerationNeed needOfCopy() const;
    void makeCopy();
    void requestCopyPermits(const TargetEntry &source, const TargetEntry &destination);
    void ifPermitted(const std::string &target, const std::function<void(bool)> &proceed);
    void startCopy(const TargetEntry &destination);
    void copyFailed(std::string_view destination, int status);
    void watchSilence();
    void schedulePlanCheck();
    void switchToNext();
    void closeLeg(std::shared_ptr<StreamLeg> &leg);
    void abandonRun(const StreamLeg &leg);
    void stopAbandonedRuns(const StreamLeg &leg);
    void eraseEnginesBeingStopped(std::vector<const TargetEntry *> &engines) const;
    void cancelMove();
    std::uint32_t tokensSince(std::uint64_t event) const;
    void onCurrentLost(std::string_view reason);
    void onNextLost(std::string_view reason, bool mayRun);
    void forwardNonStreamAnswer(StreamLeg &leg);
    void refuseAfterEngine();
    bool reportedNotRun(const StreamLeg &leg, const TargetCallEnd &end) const;
    void recordEventGap(StreamLeg &leg);
    void reportPauses(const StreamLeg &leg) const;
    void recordProgress(StreamLeg &leg) const;
    void beginAnswer(const MessageHead &head);
    void onLegStarted(const StreamLeg &leg);
    void waitForCapacity();
    bool waitsForVerdict();
    void attemptAfter(Duration pause);
    Duration maxCapacityWait() const;
    Duration maxEngineDelay() const;
    std::string_view missingEngineReason() const;
    bool takesUpStream() const;
    std::string ownStreamName() const;
    void findVersion();
    void onVersionFound(const std::optional<std::string> &version);
    std::vector<const TargetEntry *>
    assignedEngines(std::vector<const TargetEntry *> engines) const;

    EngineTraits traits;
    GenerationNeed need;
    EngineChoice::Shortage shortage; // from the last engine selection for this request
    std::shared_ptr<StreamLeg> current;
    std::shared_ptr<StreamLeg> next; // replaces current when it takes over the run
    std::shared_ptr<MoveCall> move;
    std::vector<TargetEntry> abandoned; // may work on the run after their connection was closed
    EngineReservations reservations;
    RunPlan plan;
    bool copyPermitsPending = false; // permits of rate-limited engines have been requested
    std::string permittedEngine; // destination engine whose permit for the run was already granted
    std::string copyHolder;      // engine at which memory for the copy is reserved
    std::uint64_t eventsBeforeLeg = 0; // forwarded before the current engine took over
    asio::steady_timer overlapTimer;
    asio::steady_timer moveTimer;
    asio::steady_timer planTimer;
    asio::steady_timer capacityTimer;
    asio::steady_timer silenceTimer;
    std::uint64_t lastEvent = 0; // last event that was forwarded
    // The version of the engine that began the stream, once the caller has an event of it. Events
    // of two versions do not fit together.
    std::optional<std::string> streamVersion;
    bool versionUnclear = false;   // which incarnation of an engine generated the last events
    std::string streamName;        // under which the instances know the stream; may be empty
    bool versionSettled = false;   // the version is known, or any will do
    bool versionRequested = false; // it is being looked for
    bool answerBegun = false;
    std::string lossReason;
    TimePoint lostAt;        // when the engine was lost after the run had begun
    TimePoint verdictDueAt;  // when it is known whether the lost engine crashed because of the run
    bool uncertain = false;  // some engine may have worked on the request before the current leg
    bool beginsAnew = false; // the lost run is to be placed again, and may be waiting for capacity
    int handovers = 0;
    TimePoint lastEventAt;
    Duration firstEventAfter{-1};             // measured from the arrival of the request
    Duration longestPause{0};                 // between two events
    std::uint64_t eventAfterLongestPause = 0; // event that ended the longest pause
};

} // namespace jaytrack

#endif
