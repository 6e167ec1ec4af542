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
void CrashWatch::recordUnansweredLoss(const LostRequest &lost)
{
    Loss loss{std::string(lost.address), std::string(lost.software), this->clock.now(), {}};
    loss.suspects.emplace(lost.request.digest, SentRequest{lost.sentAt, lost.request.parts});
    asio::post(this->context, [this, kept = this->alive, target = std::string(lost.target),
                               loss = std::move(loss)] {
        if (*kept)
            this->addLoss(target, loss);
    });
}

void CrashWatch::addLoss(const std::string &target, const Loss &lost)
{
    const auto [loss, first] = this->losses.try_emplace(target, lost);
    if (!first) {
        loss->second.suspects.insert(lost.suspects.begin(), lost.suspects.end());
        return;
    }
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
    TargetEnd end = this->makeEnd(target, loss);
    {
        const std::lock_guard lock(this->mutex);
        this->quarantine.describeParts(end);
        this->quarantine.recordEnd(end);
    }
    this->broadcastEnd(end);
    this->pendingRepeats.emplace_back(this->clock.now(), std::move(end));
}

TargetEnd CrashWatch::makeEnd(const std::string &target, const Loss &loss) const
{
    TargetEnd end{target, {}, this->clock.now() - loss.firstAt, loss.software};
    for (const auto &[digest, sent] : loss.suspects) {
        Suspect suspect{digest, std::max(Duration(0), loss.firstAt - sent.at)};
        for (const std::string &part : sent.parts)
            suspect.parts.push_back({part});
        end.suspects.push_back(std::move(suspect));
    }
    return end;
}

void CrashWatch::broadcastEnd(const TargetEnd &end)
{
    QuarantineMessage message;
    std::size_t digests = 0;
    for (const Suspect &suspect : end.suspects) {
        if (message.ends.empty() || digests + suspect.parts.size() >= maxDigestsPerMessage) {
            if (!message.isEmpty())
                this->transport.broadcastQuarantine(message);
            message.ends = {{end.target, {}, end.ago, end.software}};
            digests = 0;
        }
        message.ends.back().suspects.push_back(suspect);
        digests += 1 + suspect.parts.size();
    }
    if (!message.isEmpty())
        this->transport.broadcastQuarantine(message);
}

void CrashWatch::recordAnswerBegun(std::string_view software)
{
    const std::lock_guard lock(this->mutex);
    this->quarantine.recordAnswerBegun(software, this->clock.now());
}

void CrashWatch::recordSafeRun(const SafeRun &run)
{
    Cleared cleared;
    {
        const std::lock_guard lock(this->mutex);
        cleared = this->quarantine.recordSafeRun(run);
    }
    if (cleared.isEmpty())
        return;
    asio::post(this->context, [this, kept = this->alive, digest = run.request.digest,
                               cleared = std::move(cleared)] {
        if (*kept)
            this->announceCleared(digest, cleared);
    });
}

void CrashWatch::announceCleared(std::string_view digest, const Cleared &cleared)
{
    QuarantineMessage message;
    if (cleared.request) {
        logEvent(Severity::Info, "request_cleared", {{"digest", digest}});
        message.safeRuns.emplace_back(digest);
    }
    for (const SoundPart &part : cleared.parts)
        logEvent(Severity::Info, "part_cleared",
                 {{"digest", part.digest},
                  {"software", part.software},
                  {"began_ago_ms", toMillis(part.beganAgo)}});
    message.soundParts = cleared.parts;
    this->transport.broadcastQuarantine(message);
}

void CrashWatch::onMessage(const QuarantineMessage &message)
{
    std::vector<SoundPart> lifted;
    {
        const std::lock_guard lock(this->mutex);
        for (const TargetEnd &end : message.ends)
            this->quarantine.recordEnd(end);
        for (const std::string &digest : message.safeRuns)
            this->quarantine.clearRequest(digest);
        for (const SoundPart &part : message.soundParts) {
            if (this->quarantine.clearPart(part))
                lifted.push_back(part);
        }
    }
    this->reportLifted(lifted, "peer");
    this->acceptBars(message.barred);
}

// Passes on what is new, so that it reaches all instances although each is told by a few only.
// Objects to the bar of a part that this instance knows to run well: an instance that has just
// started does not know which parts do.
void CrashWatch::acceptBars(const std::vector<BarredRequest> &bars)
{
    QuarantineMessage news;
    {
        const std::lock_guard lock(this->mutex);
        for (const BarredRequest &request : bars) {
            if (const auto objection = this->quarantine.objection(request))
                news.soundParts.push_back(*objection);
            else if (this->quarantine.bar(request))
                news.barred.push_back(request);
        }
    }
    this->reportBarred(news.barred, "peer");
    for (const SoundPart &part : news.soundParts)
        logEvent(Severity::Warning, "bar_refused",
                 {{"digest", part.digest},
                  {"software", part.software},
                  {"ran_ago_ms", toMillis(part.beganAgo)}});
    if (!news.isEmpty())
        this->transport.sendQuarantineToSample(news);
}

void CrashWatch::reportLifted(const std::vector<SoundPart> &parts, std::string_view source)
{
    if (parts.empty())
        return;
    for (const SoundPart &part : parts)
        logEvent(Severity::Warning, "bar_lifted",
                 {{"digest", part.digest}, {"software", part.software}, {"source", source}});
    QuarantineMessage message;
    message.soundParts = parts;
    this->transport.sendQuarantineToSample(message);
}

void CrashWatch::reportBarred(const std::vector<BarredRequest> &newlyBarred,
                              std::string_view source)
{
    for (const BarredRequest &request : newlyBarred) {
        const bool isPart = !request.software.empty();
        logEvent(Severity::Warning, "request_barred",
                 {{"digest", request.digest},
                  {"kind", isPart ? "part" : "request"},
                  {"software", request.software},
                  {"source", source},
                  {"targets_ended", static_cast<std::int64_t>(request.ends)},
                  {"last_end_ago_ms", toMillis(request.lastEndAgo)},
                  {"for_ms", toMillis(request.remaining)}});
        this->metrics.count(isPart ? "jaytrack_parts_barred_total"
                                   : "jaytrack_requests_barred_total");
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
    // The other instances have the same reports and mostly come to the same verdict themselves.
    if (!newlyBarred.empty()) {
        QuarantineMessage message;
        message.barred = newlyBarred;
        this->transport.sendQuarantineToSample(message);
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

bool CrashWatch::hasBars() const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.hasBars();
}

bool CrashWatch::awaitsVerdict() const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.awaitsVerdict();
}

bool CrashWatch::isBarred(std::string_view digest) const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.isBarred(digest);
}

Duration CrashWatch::barredFor(const RequestIdentity &request) const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.barredFor(request);
}

Duration CrashWatch::barredAt(const RequestIdentity &request, std::string_view software) const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.barredAt(request, software);
}

bool CrashWatch::hasUnknownPart(const RequestIdentity &request, std::string_view software) const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.hasUnknownPart(request, software);
}

Duration CrashWatch::suspectedFor(const RequestIdentity &request, std::string_view software) const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.suspectedFor(request, software);
}

} // namespace jaytrack
