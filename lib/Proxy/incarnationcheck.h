// Asks an engine whether it is still the incarnation that is listed.
#ifndef JAYTRACK_LIB_PROXY_INCARNATIONCHECK_H
#define JAYTRACK_LIB_PROXY_INCARNATIONCHECK_H

#include "jaytrack/Proxy/exchange.h"

#include <functional>
#include <memory>

namespace jaytrack {

enum class IncarnationVerdict {
    Listed,  // or the engine does not report when it started
    Another, // started since, possibly with another version of its software
    NoAnswer
};

// An engine that starts again under its name accepts requests for the incarnation before, and its
// entry follows about a second later. Its answers to requests do not tell which one it is; its load
// report does.
class IncarnationCheck final : public TargetCallListener,
                               public std::enable_shared_from_this<IncarnationCheck>
{
public:
    // Receives the verdict and the start time that the engine reported, once.
    using Done = std::function<void(IncarnationVerdict, StartTime)>;

    // The check keeps itself until it is done.
    static void start(ExchangeContext &shared, const TargetEntry &engine, CallContext about,
                      Done done);

    IncarnationCheck(ExchangeContext &shared, TargetEntry engine, Done whenDone);

    void onAnswerHead(MessageHead head) override { this->status = head.status; }
    void onAnswerBody(std::string_view bytes) override;
    void onCallEnd(const TargetCallEnd &end) override;

private:
    void send(CallContext about);
    IncarnationVerdict evaluate(const EngineLoad &load) const;
    void conclude(IncarnationVerdict verdict, StartTime startedAt);

    ExchangeContext &context;
    TargetEntry target;
    Done done;
    asio::steady_timer timer;
    std::shared_ptr<RoutedCall> call;
    std::shared_ptr<IncarnationCheck> self; // until it is done
    int status = 0;
    std::string body;
};

} // namespace jaytrack

#endif
