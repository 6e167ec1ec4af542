#include "jaytrack/Proxy/storefollower.h"

#include "jaytrack/Support/log.h"

#include <algorithm>
#include <utility>

namespace jaytrack {

namespace {

constexpr int okStatus = 200;
constexpr int historyGoneStatus = 410;

// Beyond the wait that was asked for; the store answers in milliseconds and up to 60 times slower
// in its bad hours.
constexpr std::chrono::milliseconds answerSlack{700};
constexpr std::chrono::milliseconds connectBound{500};

// The first pause between failed calls: most failures are one lost connection. It doubles.
constexpr std::chrono::milliseconds firstBackoff{30};
constexpr int mostDoublings = 6;

// Failures in a row after which the store counts as lost.
constexpr int failuresUntilLost = 2;

} // namespace

StoreFollower::StoreFollower(asio::io_context &loop, const Clock &time, const Dialect &words,
                             StoreFollowerOptions given, std::uint64_t seed,
                             StoreFollowerListener &to, StoreReadListener &readBy)
    : context(loop)
    , timer(loop)
    , clock(time)
    , dialect(words)
    , options(std::move(given))
    , random(seed)
    , listener(to)
    , reads(readBy)
    , lastAnswer(time.now())
    , patience(this->options.patience)
{
}

void StoreFollower::start()
{
    this->ask();
}

void StoreFollower::stop()
{
    this->stopped = true;
    this->timer.cancel();
    if (this->call)
        this->call->cancel();
}

void StoreFollower::setActive(bool wanted)
{
    this->active = wanted;
    if (wanted && !this->waiting && !this->stopped)
        this->ask();
}

void StoreFollower::setInstances(std::size_t count)
{
    this->instances = count;
    const auto others = static_cast<std::int64_t>(count) - 1;
    const std::chrono::milliseconds wanted =
            this->options.patience + this->options.patiencePerInstance * others;
    this->patience = std::min(wanted, this->options.mostPatience);
}

void StoreFollower::catchUp(std::uint64_t to)
{
    if (to <= this->revision || to <= this->heardOf)
        return;
    if (this->heardOf <= this->revision)
        this->behindSince = this->clock.now();
    this->heardOf = to;
}

bool StoreFollower::hearEra(std::uint64_t heard)
{
    if (heard == 0 || heard == this->era)
        return true;
    if (heard < this->era)
        return false;
    std::chrono::milliseconds pause{0};
    if (this->told && !this->active) {
        const auto share = this->options.relistPerInstance * static_cast<int>(this->instances);
        const auto most = std::min(share, this->options.mostRelist);
        std::uniform_int_distribution<std::int64_t> draw(0, most.count());
        pause = std::chrono::milliseconds(draw(this->random));
    }
    this->enterEra(heard, "peer", pause);
    return true;
}

// The revisions known so far belong to a history that no longer exists: followed on from there, the
// store would tell nothing of changes that it made under the same numbers.
void StoreFollower::enterEra(std::uint64_t next, std::string_view source,
                             std::chrono::milliseconds pause)
{
    const std::uint64_t before = std::exchange(this->era, next);
    this->eraSince = this->clock.now();
    if (before == 0)
        return;
    logEvent(Severity::Warning, "store_returned",
             {{"era", static_cast<std::int64_t>(next)},
              {"before", static_cast<std::int64_t>(before)},
              {"source", source},
              {"revision", static_cast<std::int64_t>(this->revision)},
              {"lists_after_ms", static_cast<std::int64_t>(pause.count())}});
    if (this->call)
        this->call->cancel();
    this->timer.cancel();
    this->revision = 0;
    this->heardOf = 0;
    this->listing = true;
    this->pageAfter.clear();
    this->listed.clear();
    this->listener.onStoreReturned();
    this->askLater(pause);
}

// Whether the answer is of the history that is known here. One to a question that was put before a
// newer one was learnt of may be of the older one.
bool StoreFollower::belongsToKnownEra()
{
    if (!this->answerEra || *this->answerEra == this->era)
        return true;
    if (this->era == 0) {
        this->enterEra(*this->answerEra, "store", {});
        return true;
    }
    if (*this->answerEra < this->era && this->askedAt < this->eraSince) {
        this->failed("older_era");
        return false;
    }
    if (this->status == okStatus)
        this->succeeded();
    this->enterEra(*this->answerEra, "store", {});
    return false;
}

void StoreFollower::tick()
{
    const bool behind = this->heardOf > this->revision && !this->listing;
    if (behind && !this->waiting && !this->stopped &&
        this->clock.now() - this->behindSince > this->patience)
        this->catchUpNow("behind");
}

void StoreFollower::catchUpNow(std::string_view cause)
{
    logEvent(Severity::Info, "store_catch_up",
             {{"cause", cause},
              {"revision", static_cast<std::int64_t>(this->revision)},
              {"heard_of", static_cast<std::int64_t>(this->heardOf)},
              {"behind_ms", toMillis(this->clock.now() - this->behindSince)}});
    this->ask();
}

void StoreFollower::applyShared(std::uint64_t from, std::uint64_t to,
                                const std::vector<StoreItem> &items, bool incomplete,
                                bool afterOutage)
{
    if (this->listing || to <= this->revision)
        return;
    std::vector<StoreItem> fresh;
    for (const StoreItem &item : items) {
        if (item.revision > this->revision)
            fresh.push_back(item);
    }
    // What comes after a gap is true all the same, and an instance that the store turns away learns
    // of leaving engines in no other way; only the revision, which would claim more, stays behind.
    this->listener.onSharedChanges(fresh, afterOutage);
    if (!incomplete && from <= this->revision) {
        this->revision = to;
        return;
    }
    if (incomplete && !this->waiting && !this->stopped)
        return this->catchUpNow("incomplete");
    this->catchUp(to);
}

void StoreFollower::ask()
{
    this->waiting = true;
    TargetRequest request;
    request.endpoint = this->options.store;
    request.connectTimeout = connectBound;
    std::chrono::milliseconds bound = answerSlack;
    if (this->listing) {
        request.target = this->dialect.rangeTarget(this->options.prefix, this->pageAfter);
    } else {
        std::uniform_int_distribution<std::int64_t> jitter(0, this->options.waitJitter.count());
        this->askedWait = this->options.wait + std::chrono::milliseconds(jitter(this->random));
        request.target =
                this->dialect.watchTarget(this->options.prefix, this->revision, this->askedWait);
        bound += this->askedWait;
    }
    request.headers.push_back({"Host", this->options.store.address().to_string()});
    this->status = 0;
    this->answerEra.reset();
    this->body.clear();
    this->askedAt = this->clock.now();
    if (this->listing && this->pageAfter.empty())
        this->listingAskedAt = this->askedAt;
    this->call = TargetCall::start(this->context, std::move(request), this->weak_from_this());
    this->timer.expires_after(bound);
    this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
        const auto self = weak.lock();
        if (!failure && self)
            self->onTimeout();
    });
}

void StoreFollower::askLater(std::chrono::milliseconds delay)
{
    this->waiting = false;
    // An inactive follower stops once it knows the whole; a failed call is tried again all the
    // same.
    if (this->stopped || (!this->active && !this->listing && this->failures == 0))
        return;
    this->waiting = true;
    if (delay.count() == 0)
        return this->ask();
    this->timer.expires_after(delay);
    this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
        const auto self = weak.lock();
        if (!failure && self)
            self->ask();
    });
}

void StoreFollower::onAnswerHead(MessageHead head)
{
    this->status = head.status;
    this->answerEra = this->dialect.storeEra(head.headers);
}

void StoreFollower::onAnswerBody(std::string_view bytes)
{
    this->body += bytes;
}

void StoreFollower::onCallEnd(const TargetCallEnd &end)
{
    this->timer.cancel();
    if (this->stopped)
        return;
    if (!end.whole)
        return this->failed(end.reason);
    if (!this->belongsToKnownEra())
        return;
    if (!this->listing && this->status == historyGoneStatus) {
        logEvent(Severity::Warning, "store_history_gone",
                 {{"revision", static_cast<std::int64_t>(this->revision)}});
        this->listing = true;
        this->pageAfter.clear();
        this->listed.clear();
        return this->askLater(std::chrono::milliseconds(0));
    }
    if (this->status != okStatus)
        return this->failed("status_" + std::to_string(this->status));
    if (this->listing)
        this->takePage();
    else
        this->takeChanges();
}

void StoreFollower::onTimeout()
{
    if (this->call)
        this->call->cancel();
    this->failed("no_answer");
}

void StoreFollower::failed(std::string_view reason)
{
    ++this->failures;
    if (this->failures >= failuresUntilLost && !this->lost) {
        this->lost = true;
        this->listener.onStoreLost(reason);
    }
    // What was never listed here nobody else can tell.
    const bool canWait = this->told && !this->listing;
    const std::chrono::milliseconds most =
            canWait ? this->options.mostBackoffIfTold : this->options.mostBackoff;
    auto backoff = firstBackoff * (1 << std::min(this->failures - 1, mostDoublings));
    backoff = std::min(backoff, most);
    std::uniform_int_distribution<std::int64_t> jitter(backoff.count() / 2, backoff.count());
    this->askLater(std::chrono::milliseconds(jitter(this->random)));
}

void StoreFollower::succeeded()
{
    const TimePoint now = this->clock.now();
    if (this->lost) {
        this->lost = false;
        this->listener.onStoreRegained(now - this->lastAnswer);
    }
    this->failures = 0;
    this->lastAnswer = now;
}

void StoreFollower::takePage()
{
    Result<StorePage> decoded = this->dialect.decodePage(this->body);
    if (!decoded)
        return this->failed("malformed_answer");
    this->succeeded();
    StorePage &page = decoded.value();
    // Pages are read one after another, so changes between them are caught by following from the
    // revision of the first.
    if (this->pageAfter.empty())
        this->revision = page.revision;
    for (StoreItem &item : page.items)
        this->listed.push_back(std::move(item));
    if (page.more && !this->listed.empty()) {
        this->pageAfter = this->listed.back().key;
        return this->askLater(std::chrono::milliseconds(0));
    }
    this->listing = false;
    this->pageAfter.clear();
    const std::vector<StoreItem> whole = std::move(this->listed);
    this->listed.clear();
    this->listener.onListing(whole, this->listingAskedAt);
    this->reads.onStoreRead(this->revision, this->revision, {});
    this->askLater(std::chrono::milliseconds(0));
}

void StoreFollower::takeChanges()
{
    Result<StorePage> decoded = this->dialect.decodeChanges(this->body);
    if (!decoded)
        return this->failed("malformed_answer");
    this->succeeded();
    StorePage &page = decoded.value();
    const std::uint64_t before = this->revision;
    // What other instances passed on meanwhile is known already, and may be newer.
    std::erase_if(page.items, [before](const StoreItem &item) { return item.revision <= before; });
    this->revision = std::max(before, page.revision);
    const bool heldToTheEnd = this->clock.now() - this->askedAt >= this->askedWait;
    if (heldToTheEnd || !page.items.empty())
        this->listener.onChanges(page.items, this->askedAt);
    if (!page.items.empty())
        this->reads.onStoreRead(before, this->revision, page.items);
    this->askLater(page.items.empty() ? std::chrono::milliseconds(0) : this->options.gap);
}

} // namespace jaytrack
