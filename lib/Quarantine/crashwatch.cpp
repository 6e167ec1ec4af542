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

// Between the first lost connection and the question whether anybody listens there: an ending
// process closes its connections and its listener in any order, and all of this instance's
// connections to it are lost meanwhile.
constexpr std::chrono::milliseconds gatherTime{50};

constexpr std::chrono::milliseconds checkBound{400};

// Datagrams may be lost, so what tells of an end goes out twice, within the time that the
// quarantine waits for it.
constexpr std::chrono::milliseconds repeatAfter{150};

// How often some instances are told of all that is barred, so that one that starts, or was cut off,
// knows within a few of these.
constexpr std::chrono::milliseconds barredGap{1000};

// Digests in one message: 3 KB, which a datagram carries.
constexpr std::size_t mostInMessage = 64;

} // namespace

CrashWatch::CrashWatch(asio::io_context &loop, const Clock &time, Metrics &counters,
                       QuarantineTransport &others, CrashWatchListener &told)
    : context(loop)
    , clock(time)
    , metrics(counters)
    , spread(others)
    , listener(told)
    , quarantine(time)
{
}

CrashWatch::~CrashWatch()
{
    *this->alive = false;
}

// The loss is dated here: by the time that the loop comes to it, the request may have been sent to
// the next target, and that it was sent after this one had ended would not show.
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
    const auto timer = std::make_shared<asio::steady_timer>(this->context, gatherTime);
    timer->async_wait([this, kept = this->alive, timer, target](const asio::error_code &failure) {
        if (!failure && *kept)
            this->check(target);
    });
}

// A target may close one connection and live on; only one that listens no more has ended.
void CrashWatch::check(const std::string &target)
{
    const auto endpoint = parseEndpoint(this->losses[target].address);
    if (!endpoint)
        return this->conclude(target, false);
    checkListening(this->context, endpoint.value(), checkBound,
                   [this, kept = this->alive, target](Listening found) {
                       if (*kept)
                           this->conclude(target, found == Listening::Refused);
                   });
}

void CrashWatch::conclude(const std::string &target, bool ended)
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
        this->quarantine.targetEnded(end);
    }
    this->tellEnd(end);
    this->toRepeat.emplace_back(this->clock.now(), std::move(end));
}

void CrashWatch::tellEnd(const TargetEnd &end)
{
    for (std::size_t at = 0; at < end.suspects.size(); at += mostInMessage) {
        const std::size_t count = std::min(mostInMessage, end.suspects.size() - at);
        const auto first = end.suspects.begin() + static_cast<std::ptrdiff_t>(at);
        QuarantineMessage news;
        news.ends.push_back(
                {end.target, {first, first + static_cast<std::ptrdiff_t>(count)}, end.ago});
        this->spread.broadcastQuarantine(news);
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
        QuarantineMessage news;
        news.ranWell.push_back(digest);
        this->spread.broadcastQuarantine(news);
    });
}

void CrashWatch::onMessage(const QuarantineMessage &news)
{
    std::vector<BarredRequest> fresh;
    {
        const std::lock_guard lock(this->mutex);
        for (const TargetEnd &end : news.ends)
            this->quarantine.targetEnded(end);
        for (const std::string &digest : news.ranWell)
            this->quarantine.recordSafeRun(digest);
        for (const BarredRequest &request : news.barred) {
            if (this->quarantine.bar(request))
                fresh.push_back(request);
        }
    }
    this->announce(fresh, "peer");
}

void CrashWatch::announce(const std::vector<BarredRequest> &fresh, std::string_view source)
{
    for (const BarredRequest &request : fresh) {
        logEvent(Severity::Warning, "request_barred",
                 {{"digest", request.digest},
                  {"source", source},
                  {"targets_ended", static_cast<std::int64_t>(request.ends)},
                  {"for_ms", toMillis(request.left)}});
        this->metrics.count("jaytrack_requests_barred_total");
        this->listener.onRequestBarred(request.digest);
    }
}

void CrashWatch::tick()
{
    std::vector<BarredRequest> fresh;
    {
        const std::lock_guard lock(this->mutex);
        fresh = this->quarantine.weigh();
    }
    this->announce(fresh, "own");
    if (!fresh.empty()) {
        QuarantineMessage news;
        news.barred = fresh;
        this->spread.broadcastQuarantine(news);
    }
    this->repeatEnds();
    if (this->clock.now() - this->barredToldAt >= barredGap)
        this->tellBarred();
}

void CrashWatch::repeatEnds()
{
    const TimePoint now = this->clock.now();
    while (!this->toRepeat.empty() && now - this->toRepeat.front().first >= repeatAfter) {
        auto [toldAt, end] = std::move(this->toRepeat.front());
        this->toRepeat.pop_front();
        end.ago += now - toldAt;
        this->tellEnd(end);
    }
}

void CrashWatch::tellBarred()
{
    this->barredToldAt = this->clock.now();
    QuarantineMessage news;
    {
        const std::lock_guard lock(this->mutex);
        news.barred = this->quarantine.barred();
    }
    if (news.barred.empty())
        return;
    // The newest matter most: what has been barred for long is known everywhere.
    std::sort(news.barred.begin(), news.barred.end(),
              [](const BarredRequest &left, const BarredRequest &right) {
                  return left.left > right.left;
              });
    news.barred.resize(std::min(news.barred.size(), mostInMessage));
    this->spread.sendQuarantineToSample(news);
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
