#include "jaytrack/Quarantine/crashwatch.h"

#include "jaytrack/Net/connectcheck.h"
#include "jaytrack/Net/socket.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Support/metrics.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>

namespace jaytrack {

namespace {

// Delay between the first lost connection and the check whether the target still listens. A
// terminating process closes its connections and its listener in any order, and all of this
// instance's connections to it are lost during this time.
constexpr std::chrono::milliseconds checkDelay{50};

constexpr std::chrono::milliseconds checkTimeout{400};

// Datagrams may be lost, so the report of an end is sent twice, within the quarantine's settling
// time.
constexpr std::chrono::milliseconds repeatDelay{150};

// Interval at which all barred requests are sent to a sample of the instances. An instance that
// starts, or was disconnected, receives them within a few intervals.
constexpr std::chrono::milliseconds barredInterval{1000};

// Maximum number of digests in one message: 3 KB, which fits into a datagram.
constexpr std::size_t maxDigestsPerMessage = 64;

} // namespace

CrashWatch::CrashWatch(asio::io_context &loop, const Clock &time, Metrics &counters,
                       QuarantineTransport &peerTransport, CrashWatchListener &barListener)
    : context(loop)
    , clock(time)
    , metrics(counters)
    , transport(peerTransport)
    , listener(barListener)
    , quarantine(time)
{
}

CrashWatch::~CrashWatch()
{
    *this->alive = false;
}

// Takes the time of the loss before posting to the event loop. When the loop runs the handler, the
// request may already have been sent to the next target, and the order of the two would be lost.
void CrashWatch::recordUnansweredLoss(std::string_view target, std::string_view address,
                                      std::string_view digest, TimePoint sentAt)
{
    asio::post(this->context, [this, kept = this->alive, target = std::string(target),
                               address = std::string(address), digest = std::string(digest), sentAt,
                               lostAt = this->clock.now()] {
        if (*kept)
            this->addLoss(target, address, digest, sentAt, lostAt);
    });
}

void CrashWatch::addLoss(const std::string &target, const std::string &address,
                         const std::string &digest, TimePoint sentAt, TimePoint lostAt)
{
    const auto [loss, first] = this->losses.try_emplace(target);
    loss->second.suspects.emplace(digest, sentAt);
    if (!first)
        return;
    loss->second.address = address;
    loss->second.firstAt = lostAt;
    const auto timer = std::make_shared<asio::steady_timer>(this->context, checkDelay);
    timer->async_wait([this, kept = this->alive, timer, target](const asio::error_code &failure) {
        if (!failure && *kept)
            this->check(target);
    });
}

// A target may close a connection without terminating. It has ended only if it no longer listens.
void CrashWatch::check(const std::string &target)
{
    const auto endpoint = parseEndpoint(this->losses[target].address);
    if (!endpoint)
        return this->onTargetChecked(target, false);
    checkListening(this->context, endpoint.value(), checkTimeout,
                   [this, kept = this->alive, target](Listening found) {
                       if (!*kept)
                           return;
                       if (found != Listening::Refused)
                           return this->onTargetChecked(target, false);
                       this->listener.verifyEnd(target, [this, kept, target](bool ended) {
                           if (*kept)
                               this->onTargetChecked(target, ended);
                       });
                   });
}

void CrashWatch::onTargetChecked(const std::string &target, bool ended)
{
    const auto node = this->losses.extract(target);
    const Loss &loss = node.mapped();
    logEvent(Severity::Info, ended ? "target_ended" : "target_lives_on",
             {{"target", target},
              {"address", loss.address},
              {"unanswered", static_cast<std::int64_t>(loss.suspects.size())},
              {"first_digest", loss.suspects.begin()->first}});
    if (!ended)
        return;
    this->metrics.count("jaytrack_target_ends_total");
    TargetEnd end{target, {}, this->clock.now() - loss.firstAt};
    for (const auto &[digest, sentAt] : loss.suspects)
        end.suspects.push_back({digest, std::max(Duration(0), loss.firstAt - sentAt)});
    {
        const std::lock_guard lock(this->mutex);
        this->quarantine.recordEnd(end);
    }
    this->broadcastEnd(end);
    this->pendingRepeats.emplace_back(this->clock.now(), std::move(end));
}

void CrashWatch::broadcastEnd(const TargetEnd &end)
{
    for (std::size_t at = 0; at < end.suspects.size(); at += maxDigestsPerMessage) {
        const std::size_t count = std::min(maxDigestsPerMessage, end.suspects.size() - at);
        const auto first = end.suspects.begin() + static_cast<std::ptrdiff_t>(at);
        QuarantineMessage message;
        message.ends.push_back(
                {end.target, {first, first + static_cast<std::ptrdiff_t>(count)}, end.ago});
        this->transport.broadcastQuarantine(message);
    }
}

void CrashWatch::recordSafeRun(std::string_view digest)
{
    bool suspected = false;
    {
        const std::lock_guard lock(this->mutex);
        suspected = this->quarantine.recordSafeRun(digest);
    }
    if (!suspected)
        return;
    asio::post(this->context, [this, kept = this->alive, digest = std::string(digest)] {
        if (!*kept)
            return;
        logEvent(Severity::Info, "request_cleared", {{"digest", digest}});
        QuarantineMessage message;
        message.safeRuns.push_back(digest);
        this->transport.broadcastQuarantine(message);
    });
}

void CrashWatch::onMessage(const QuarantineMessage &message)
{
    std::vector<BarredRequest> newlyBarred;
    {
        const std::lock_guard lock(this->mutex);
        for (const TargetEnd &end : message.ends)
            this->quarantine.recordEnd(end);
        for (const std::string &digest : message.safeRuns)
            this->quarantine.recordSafeRun(digest);
        for (const BarredRequest &request : message.barred) {
            if (this->quarantine.bar(request))
                newlyBarred.push_back(request);
        }
    }
    this->reportBarred(newlyBarred, "peer");
}

void CrashWatch::reportBarred(const std::vector<BarredRequest> &newlyBarred,
                              std::string_view source)
{
    for (const BarredRequest &request : newlyBarred) {
        logEvent(Severity::Warning, "request_barred",
                 {{"digest", request.digest},
                  {"source", source},
                  {"targets_ended", static_cast<std::int64_t>(request.ends)},
                  {"for_ms", toMillis(request.remaining)}});
        this->metrics.count("jaytrack_requests_barred_total");
        this->listener.onRequestBarred(request.digest);
    }
}

void CrashWatch::tick()
{
    std::vector<BarredRequest> newlyBarred;
    {
        const std::lock_guard lock(this->mutex);
        newlyBarred = this->quarantine.evaluate();
    }
    this->reportBarred(newlyBarred, "own");
    if (!newlyBarred.empty()) {
        QuarantineMessage message;
        message.barred = newlyBarred;
        this->transport.broadcastQuarantine(message);
    }
    this->repeatEnds();
    if (this->clock.now() - this->barredSentAt >= barredInterval)
        this->sendBarred();
}

void CrashWatch::repeatEnds()
{
    const TimePoint now = this->clock.now();
    while (!this->pendingRepeats.empty() &&
           now - this->pendingRepeats.front().first >= repeatDelay) {
        auto [sentAt, end] = std::move(this->pendingRepeats.front());
        this->pendingRepeats.pop_front();
        end.ago += now - sentAt;
        this->broadcastEnd(end);
    }
}

void CrashWatch::sendBarred()
{
    this->barredSentAt = this->clock.now();
    QuarantineMessage message;
    {
        const std::lock_guard lock(this->mutex);
        message.barred = this->quarantine.barred();
    }
    if (message.barred.empty())
        return;
    // Prefers the most recently barred requests; the other instances already know the older ones.
    std::sort(message.barred.begin(), message.barred.end(),
              [](const BarredRequest &left, const BarredRequest &right) {
                  return left.remaining > right.remaining;
              });
    message.barred.resize(std::min(message.barred.size(), maxDigestsPerMessage));
    this->transport.sendQuarantineToSample(message);
}

bool CrashWatch::isIdle() const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.isIdle();
}

bool CrashWatch::isBarred(std::string_view digest) const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.isBarred(digest);
}

Duration CrashWatch::barredFor(std::string_view digest) const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.barredFor(digest);
}

} // namespace jaytrack
