#include "jaytrack/Store/storefollower.h"

#include "jaytrack/Support/log.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace jaytrack {

namespace {

// Maximum size of an answer of the store; more than any page of a listing.
constexpr std::size_t maxAnswerBytes = 64U << 20U;

constexpr int okStatus = 200;
constexpr int historyGoneStatus = 410;

// Time allowed for an answer beyond the requested wait. The store normally answers within
// milliseconds, and up to 60 times slower when it is overloaded.
constexpr std::chrono::milliseconds answerMargin{700};

// The time allowed for a page of a listing doubles with each that was not answered in time. If it
// did not, a fleet whose pages take longer than that would ask for them for ever.
constexpr int maxTimeoutDoublings = 2;

// Maximum number of changes kept while a snapshot is on its way; more than arrive in seconds.
constexpr std::size_t maxEarlyChanges = 64;

constexpr std::chrono::milliseconds maxConnectTime{500};

// Initial back-off between failed calls, which doubles with each failure. It is short because most
// failures are a single lost connection.
constexpr std::chrono::milliseconds firstBackoff{30};
constexpr int maxDoublings = 6;

// Consecutive failures after which the store is considered lost.
constexpr int failuresUntilLost = 2;

// Interval of log lines while a listing is under way.
constexpr std::chrono::seconds progressInterval{1};

// Whether the status says that the request as such is refused, whenever it comes.
bool refusesRequest(int status)
{
    static constexpr int badRequest = 400;
    static constexpr int uriTooLong = 414;
    static constexpr int headTooLarge = 431;
    return status == badRequest || status == uriTooLong || status == headTooLarge;
}

} // namespace

StoreFollower::StoreFollower(asio::io_context &loop, const Clock &time, const Dialect &platform,
                             StoreFollowerOptions followerOptions, std::uint64_t seed,
                             StoreFollowerListener &followerListener,
                             StoreReadListener &readListener)
    : context(loop)
    , timer(loop)
    , rewriteTimer(loop)
    , clock(time)
    , dialect(platform)
    , options(std::move(followerOptions))
    , random(seed)
    , listener(followerListener)
    , reads(readListener)
    , lastAnswer(time.now())
    , sharedChangeWait(this->options.sharedChangeWait)
    , repeats(time, firstBackoff, this->random)
{
}

void StoreFollower::start()
{
    this->query();
}

void StoreFollower::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->rewriteTimer.cancel();
    if (this->call)
        this->call->cancel();
}

void StoreFollower::setActive(bool wanted)
{
    this->active = wanted;
    if (wanted && !this->waiting && !this->stopped)
        this->query();
}

void StoreFollower::setInstances(std::size_t count)
{
    this->instances = count;
    const auto others = static_cast<std::int64_t>(count) - 1;
    const std::chrono::milliseconds wanted =
            this->options.sharedChangeWait + this->options.sharedChangeWaitPerInstance * others;
    this->sharedChangeWait = std::min(wanted, this->options.maxSharedChangeWait);
}

void StoreFollower::catchUp(std::uint64_t to)
{
    if (to <= this->revision || to <= this->announcedRevision)
        return;
    if (this->announcedRevision <= this->revision)
        this->behindSince = this->clock.now();
    this->announcedRevision = to;
}

bool StoreFollower::updateEra(std::uint64_t announced)
{
    if (announced == 0 || announced == this->era)
        return true;
    if (announced < this->era)
        return false;
    const bool canWait = this->receivesUpdates && !this->active;
    this->enterEra(announced, "peer",
                   canWait ? this->drawRelistDelay() : std::chrono::milliseconds(0));
    return true;
}

std::chrono::milliseconds StoreFollower::drawRelistDelay()
{
    const auto share = this->options.relistDelayPerInstance * static_cast<int>(this->instances);
    const auto maxDelay = std::min(share, this->options.maxRelistDelay);
    std::uniform_int_distribution<std::int64_t> draw(0, maxDelay.count());
    return std::chrono::milliseconds(draw(this->random));
}

// What is known stays valid and goes on being updated by others, who list the store as well.
void StoreFollower::onHistoryGone()
{
    const bool canWait = this->receivesUpdates && !this->active;
    const std::chrono::milliseconds pause =
            canWait ? this->drawRelistDelay() : std::chrono::milliseconds(0);
    logEvent(Severity::Warning, "store_history_gone",
             {{"revision", static_cast<std::int64_t>(this->revision)},
              {"lists_after_ms", static_cast<std::int64_t>(pause.count())}});
    if (canWait) {
        this->waiting = false;
        this->failures = 0;
        this->relistAt = this->clock.now() + pause;
        return;
    }
    this->startListing();
    this->queryAfter(this->spaceRepeat("history_gone", this->options.maxBackoffWithUpdates));
}

// Returns how long to wait before a call that an answer without news has made necessary. Each
// answer of a store that holds no watches, refuses each of them or changes between eras leads to
// another call, ten thousand a second if none waited. One such answer alone does not delay the next
// call.
std::chrono::milliseconds StoreFollower::spaceRepeat(std::string_view cause,
                                                     std::chrono::milliseconds maxInterval)
{
    const std::chrono::milliseconds interval = this->repeats.repeat(maxInterval);
    const auto elapsed =
            std::chrono::floor<std::chrono::milliseconds>(this->clock.now() - this->querySentAt);
    if (elapsed >= interval)
        return std::chrono::milliseconds(0);
    this->reportSpacing(cause);
    return interval - elapsed;
}

void StoreFollower::reportSpacing(std::string_view cause)
{
    if (!this->repeats.takeReport())
        return;
    logEvent(Severity::Warning, "store_calls_spaced",
             {{"cause", cause},
              {"revision", static_cast<std::int64_t>(this->revision)},
              {"era", static_cast<std::int64_t>(this->era)},
              {"heard_of", static_cast<std::int64_t>(this->announcedRevision)}});
}

// The known revisions belong to a history that no longer exists. If the follower continued from
// them, the store would not report changes that it made under the same revision numbers.
void StoreFollower::enterEra(std::uint64_t next, std::string_view source,
                             std::chrono::milliseconds pause)
{
    const std::uint64_t before = std::exchange(this->era, next);
    this->eraSince = this->clock.now();
    if (before == 0)
        return this->onFirstEra();
    this->lastRestore = this->eraSince;
    pause = std::max(pause, this->spaceRepeat("era_changed", this->options.maxBackoff));
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
    this->announcedRevision = 0;
    this->listedInEra = false;
    this->earlyChanges.clear();
    this->startListing();
    this->listener.onStoreRestored();
    this->queryAfter(pause);
    this->confirmAfterRewrites(true);
}

// Only another instance can tell whether the store had this history for long.
void StoreFollower::onFirstEra()
{
    if (!this->options.systemRanBefore)
        return;
    this->listener.onStoreMaybeRestored();
    this->confirmAfterRewrites(false);
}

// Nothing read before lost changes are written again confirms that a configuration is the newest,
// so an instance that reads the store lists it then, rather than when its next watches end.
void StoreFollower::confirmAfterRewrites(bool always)
{
    this->rewriteTimer.expires_after(restoreTime);
    this->rewriteTimer.async_wait(
            [weak = this->weak_from_this(), always](const asio::error_code &failure) {
                const auto self = weak.lock();
                if (!failure && self && (always || !self->listener.isConfirmed()))
                    self->listAfterRewrites();
            });
}

void StoreFollower::listAfterRewrites()
{
    if (this->stopped || !this->active)
        return;
    // A listing that is still under way must not begin again: with a slow store it would never end.
    if (!this->listedInEra || this->lost)
        return;
    if (this->call)
        this->call->cancel();
    this->timer.cancel();
    this->startListing();
    this->query();
}

// Whether the answer belongs to the known history. An answer to a query that was sent before this
// instance learnt of a newer history may belong to the older one.
bool StoreFollower::belongsToKnownEra()
{
    if (!this->answerEra || *this->answerEra == this->era)
        return true;
    if (this->era == 0) {
        this->enterEra(*this->answerEra, "store", {});
        return true;
    }
    if (*this->answerEra < this->era && this->querySentAt < this->eraSince) {
        this->failed("older_era");
        return false;
    }
    // A replica may still answer from the history before the known one.
    if (*this->answerEra < this->era && this->queryFreshness == ReadFreshness::MayBeStale) {
        this->startListing();
        this->queryAfter(std::chrono::milliseconds(0));
        return false;
    }
    if (this->status == okStatus)
        this->succeeded();
    this->enterEra(*this->answerEra, "store", {});
    return false;
}

// Starts a listing that repeats an earlier one. Replicas that lag may still lack what made it
// necessary, so all of it is read as current.
void StoreFollower::startListing()
{
    // A listing that is begun again still follows the one before it.
    if (!this->listing || this->revision == 0)
        this->revisionBeforeListing = this->listedStale ? 0 : this->revision;
    this->listing = true;
    this->mayListStale = false;
    this->listedStale = false;
    this->relistAt.reset();
    this->pages.clear();
}

ReadFreshness StoreFollower::pageFreshness() const
{
    const std::string &prefix = this->options.stalePrefix;
    const bool stale =
            this->mayListStale && !prefix.empty() && this->pages.after().starts_with(prefix);
    return stale ? ReadFreshness::MayBeStale : ReadFreshness::Current;
}

void StoreFollower::tick()
{
    const bool behind = this->announcedRevision > this->revision && !this->listing;
    if (this->relistAt) {
        if (!behind)
            this->relistAt.reset();
        if (!behind || this->waiting || this->stopped || this->clock.now() < *this->relistAt)
            return;
        this->startListing();
        return this->query();
    }
    if (behind && !this->waiting && !this->stopped &&
        this->clock.now() - this->behindSince > this->sharedChangeWait)
        this->queryMissing("behind");
}

void StoreFollower::queryMissing(std::string_view cause)
{
    logEvent(Severity::Info, "store_catch_up",
             {{"cause", cause},
              {"revision", static_cast<std::int64_t>(this->revision)},
              {"heard_of", static_cast<std::int64_t>(this->announcedRevision)},
              {"behind_ms", toMillis(this->clock.now() - this->behindSince)}});
    this->query();
}

void StoreFollower::applyShared(std::uint64_t from, std::uint64_t to,
                                const std::vector<StoreItem> &items, bool incomplete,
                                bool afterOutage)
{
    if (this->listing) {
        if (this->holdsData && !this->hasListed())
            this->useEarlyChanges(items, afterOutage);
        return this->keepEarlyChanges({from, to, items, incomplete, afterOutage});
    }
    if (to <= this->revision)
        return;
    std::vector<StoreItem> fresh;
    for (const StoreItem &item : items) {
        if (item.revision > this->revision)
            fresh.push_back(item);
    }
    // Changes after a gap are valid too, and an instance that the store rejects has no other way to
    // learn of engines that shut down. Only the revision is not advanced, because it would claim
    // that the missing changes are known.
    this->listener.onSharedChanges(fresh, afterOutage);
    if (!incomplete && from <= this->revision) {
        this->revision = to;
        return;
    }
    if (incomplete && !this->waiting && !this->stopped && !this->relistAt)
        return this->queryMissing("incomplete");
    this->catchUp(to);
}

// Changes of known items may tell that a target leaves, which must not wait for a listing. New
// items wait for it: one that the listing does not contain yet would be taken for removed.
void StoreFollower::useEarlyChanges(const std::vector<StoreItem> &items, bool afterOutage)
{
    const std::vector<std::string> keys = this->listener.storedKeys();
    std::unordered_set<std::string_view> known(keys.begin(), keys.end());
    known.insert(this->dialect.configurationKey());
    std::vector<StoreItem> usable;
    std::copy_if(items.begin(), items.end(), std::back_inserter(usable),
                 [&known](const StoreItem &item) { return known.count(item.key) > 0; });
    this->listener.onSharedChanges(usable, afterOutage);
}

// If too many arrive, those kept would leave a gap, which costs a call to the store as well.
void StoreFollower::keepEarlyChanges(SharedChanges changes)
{
    if (this->earlyChanges.size() >= maxEarlyChanges)
        this->earlyChanges.clear();
    this->earlyChanges.push_back(std::move(changes));
}

void StoreFollower::applyEarlyChanges()
{
    for (const SharedChanges &early : std::exchange(this->earlyChanges, {}))
        this->applyShared(early.from, early.to, early.items, early.incomplete, early.afterOutage);
}

void StoreFollower::adoptSnapshot(std::uint64_t snapshotEra, std::uint64_t at)
{
    assert(!this->hasListed() && !this->holdsNewer(at) &&
           "a snapshot would take back what is known");
    if (this->call)
        this->call->cancel();
    this->timer.cancel();
    if (this->era == 0)
        this->era = snapshotEra;
    this->listedInEra = true;
    this->holdsData = true;
    this->listing = false;
    this->mayListStale = false;
    this->listedStale = false;
    this->pages.clear();
    this->revision = at;
    this->failures = 0;
    this->waiting = false;
    this->applyEarlyChanges();
    if (this->active && !this->waiting)
        this->query();
}

void StoreFollower::replaceListing(std::uint64_t snapshotEra, std::uint64_t at)
{
    const std::uint64_t before = std::exchange(this->revision, 0);
    this->listedInEra = false;
    this->startListing();
    this->adoptSnapshot(snapshotEra, at);
    this->catchUp(before);
}

std::chrono::milliseconds StoreFollower::answerTimeout() const
{
    if (!this->listing)
        return answerMargin + this->requestedWait;
    return answerMargin * (1 << std::min(this->unanswered, maxTimeoutDoublings));
}

void StoreFollower::query()
{
    this->waiting = true;
    TargetRequest request;
    request.endpoint = this->options.store;
    request.connectTimeout = maxConnectTime;
    if (this->listing) {
        this->queryFreshness = this->pageFreshness();
        request.target = this->dialect.rangeTarget(this->options.prefix, this->pages.after(),
                                                   this->queryFreshness);
    } else {
        std::uniform_int_distribution<std::int64_t> jitter(0, this->options.waitJitter.count());
        this->requestedWait = this->options.wait + std::chrono::milliseconds(jitter(this->random));
        request.target = this->dialect.watchTarget(this->options.prefix, this->revision,
                                                   this->requestedWait);
    }
    request.headers.push_back({"Host", this->options.store.address().to_string()});
    this->status = 0;
    this->answerEra.reset();
    this->body.clear();
    this->querySentAt = this->clock.now();
    this->queriedRevision = this->revision;
    if (this->listing && this->pages.after().empty()) {
        this->listingStartedAt = this->querySentAt;
        this->progressLoggedAt = this->querySentAt;
        this->pagesRead = 0;
    }
    this->call = TargetCall::start(this->context, std::move(request), this->weak_from_this());
    this->timer.expires_after(this->answerTimeout());
    this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
        const auto self = weak.lock();
        if (!failure && self)
            self->onTimeout();
    });
}

void StoreFollower::queryAfter(std::chrono::milliseconds delay)
{
    this->waiting = false;
    // An inactive follower makes no further calls once it has a complete and current listing, but
    // still retries a failed call.
    const bool isCurrent = !this->listing && !this->listedStale;
    const bool isSpared =
            this->awaitsSnapshot && !this->hasListed() && !this->pages.after().empty();
    const bool rests = isSpared || (isCurrent && this->failures == 0);
    if (this->stopped || (!this->active && rests))
        return;
    this->waiting = true;
    if (delay.count() == 0)
        return this->query();
    this->timer.expires_after(delay);
    this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &failure) {
        const auto self = weak.lock();
        if (!failure && self)
            self->query();
    });
}

void StoreFollower::onAnswerHead(MessageHead head)
{
    this->status = head.status;
    this->answerEra = this->dialect.storeEra(head.headers);
}

void StoreFollower::onAnswerBody(std::string_view bytes)
{
    if (appendWithin(this->body, bytes, maxAnswerBytes))
        return;
    this->call->cancel();
    this->timer.cancel();
    this->body.clear();
    this->failed(tooLargeReason);
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
    if (!this->listing && this->status == historyGoneStatus)
        return this->onHistoryGone();
    if (this->listing && !this->pages.after().empty() && refusesRequest(this->status))
        return this->onListingStuck("status_" + std::to_string(this->status));
    if (this->status != okStatus)
        return this->failed("status_" + std::to_string(this->status));
    if (this->listing)
        this->applyPage();
    else
        this->applyChanges();
}

void StoreFollower::onTimeout()
{
    if (this->call)
        this->call->cancel();
    ++this->unanswered;
    this->failed("no_answer");
}

void StoreFollower::failed(std::string_view reason)
{
    ++this->failures;
    if (this->failures >= failuresUntilLost && !this->lost) {
        this->lost = true;
        this->listener.onStoreLost(reason);
    }
    // Other instances only send changes, so an instance without a listing cannot rely on them
    // unless it is to get a snapshot.
    const bool getsSnapshot = this->awaitsSnapshot && !this->hasListed() && !this->active;
    const bool canWait = this->receivesUpdates && (!this->listing || getsSnapshot);
    const std::chrono::milliseconds maxDelay =
            canWait ? this->options.maxBackoffWithUpdates : this->options.maxBackoff;
    auto backoff = firstBackoff * (1 << std::min(this->failures - 1, maxDoublings));
    backoff = std::min(backoff, maxDelay);
    std::uniform_int_distribution<std::int64_t> jitter(backoff.count() / 2, backoff.count());
    this->queryAfter(std::chrono::milliseconds(jitter(this->random)));
}

void StoreFollower::succeeded()
{
    const TimePoint now = this->clock.now();
    if (this->lost) {
        this->lost = false;
        this->listener.onStoreRegained(now - this->lastAnswer);
    }
    this->failures = 0;
    this->unanswered = 0;
    this->lastAnswer = now;
}

// Tells why an answer is not used. Further ones in a row are asked for again, and are not told.
void StoreFollower::reject(const Error &error)
{
    if (this->failures == 0)
        logEvent(Severity::Warning, "store_answer_rejected",
                 {{"code", static_cast<std::int64_t>(error.code)},
                  {"what", this->listing ? "page" : "changes"},
                  {"after", this->pages.after()},
                  {"revision", static_cast<std::int64_t>(this->revision)},
                  {"detail", error.detail}});
    this->failed("malformed_answer");
}

// Tells how far a listing has come. In one that goes on, the number of items grows with each line
// and the key after which it goes on comes once.
void StoreFollower::logProgress(const StorePage &page)
{
    ++this->pagesRead;
    const TimePoint now = this->clock.now();
    if (now - this->progressLoggedAt < progressInterval)
        return;
    this->progressLoggedAt = now;
    logEvent(Severity::Info, "store_listing_progress",
             {{"pages", static_cast<std::int64_t>(this->pagesRead)},
              {"items", static_cast<std::int64_t>(this->pages.size())},
              {"in_page", static_cast<std::int64_t>(page.items.size())},
              {"after", this->pages.after()},
              {"more", page.more ? 1 : 0},
              {"since_ms", toMillis(now - this->listingStartedAt)}});
}

void StoreFollower::applyPage()
{
    Result<StorePage> decoded = this->dialect.decodePage(this->body);
    if (!decoded)
        return this->reject(decoded.error());
    StorePage &page = decoded.value();
    this->listener.onNamelessItems(page.nameless);
    const bool advanced = this->addToListing(page);
    this->logProgress(page);
    if (page.more && !advanced)
        return this->onListingStuck("no_new_items");
    this->succeeded();
    if (page.more) {
        this->pages.advance();
        return this->queryAfter(std::chrono::milliseconds(0));
    }
    this->completeListing();
}

// Pages are read one after another, and stale ones from replicas that lag by different amounts.
// Watching from the oldest of their revisions catches all changes that any of them lacks. Returns
// whether the page brought anything that was not listed yet.
bool StoreFollower::addToListing(StorePage &page)
{
    const bool isFirst = this->pages.after().empty();
    this->revision = isFirst ? page.revision : std::min(this->revision, page.revision);
    const bool stale = this->queryFreshness == ReadFreshness::MayBeStale;
    this->listedStale = this->listedStale || stale;
    const std::size_t before = this->pages.size();
    for (StoreItem &item : page.items) {
        // Only keys under the prefix may be stale, so the rest of the page is read again.
        if (stale && !item.key.starts_with(this->options.stalePrefix)) {
            this->mayListStale = false;
            page.more = true;
            return true;
        }
        this->pages.add(std::move(item));
    }
    return this->pages.size() > before;
}

// The store does not go on after the key at the end of the last page, as one would that reads the
// key as another and begins anew.
void StoreFollower::onListingStuck(std::string_view reason)
{
    const std::string stuckAfter = this->pages.after();
    this->pages.stepBack();
    if (this->failures == 0)
        logEvent(Severity::Warning, "store_listing_stuck",
                 {{"reason", reason},
                  {"after", stuckAfter},
                  {"resumes_after", this->pages.after()},
                  {"items", static_cast<std::int64_t>(this->pages.size())}});
    this->listener.onListingStuck();
    this->failed("listing_stuck");
}

void StoreFollower::completeListing()
{
    this->listing = false;
    this->listedInEra = true;
    this->holdsData = true;
    this->mayListStale = false;
    const std::vector<StoreItem> whole = this->pages.take();
    logEvent(Severity::Info, "store_listed",
             {{"items", static_cast<std::int64_t>(whole.size())},
              {"revision", static_cast<std::int64_t>(this->revision)},
              {"stale", this->listedStale ? 1 : 0},
              {"took_ms", toMillis(this->clock.now() - this->listingStartedAt)}});
    const bool follows =
            this->revisionBeforeListing > 0 && this->revisionBeforeListing <= this->revision;
    const std::vector<StoreItem> changes =
            follows ? this->changesInListing(whole) : std::vector<StoreItem>();
    this->listener.onListing(whole, this->listingStartedAt);
    this->reads.onStoreRead(follows ? this->revisionBeforeListing : this->revision, this->revision,
                            changes);
    this->applyEarlyChanges();
    this->queryAfter(std::chrono::milliseconds(0));
}

// Returns how the listing differs from what was known before, so that other instances need not list
// the store themselves. Must be called before the listener gets the listing.
std::vector<StoreItem> StoreFollower::changesInListing(const std::vector<StoreItem> &whole) const
{
    std::vector<StoreItem> changes;
    std::unordered_set<std::string_view> keys;
    keys.reserve(whole.size());
    for (const StoreItem &item : whole) {
        keys.insert(item.key);
        if (item.revision > this->revisionBeforeListing)
            changes.push_back(item);
    }
    for (std::string &key : this->listener.storedKeys()) {
        if (keys.count(key) == 0)
            changes.push_back({std::move(key), {}, this->revision, true});
    }
    return changes;
}

void StoreFollower::applyChanges()
{
    Result<StorePage> decoded = this->dialect.decodeChanges(this->body);
    if (!decoded)
        return this->reject(decoded.error());
    this->succeeded();
    StorePage &page = decoded.value();
    this->listener.onNamelessItems(page.nameless);
    const std::uint64_t before = this->revision;
    const bool isNews = !page.items.empty() && page.revision > this->queriedRevision;
    // Changes received from other instances meanwhile are already applied and may be newer.
    std::erase_if(page.items, [before](const StoreItem &item) { return item.revision <= before; });
    this->revision = std::max(before, page.revision);
    this->listedStale = false;
    const bool heldForFullWait = this->clock.now() - this->querySentAt >= this->requestedWait;
    if (heldForFullWait || !page.items.empty())
        this->listener.onChanges(page.items, this->querySentAt);
    if (!page.items.empty())
        this->reads.onStoreRead(before, this->revision, page.items);
    const auto gap = page.items.empty() ? std::chrono::milliseconds(0) : this->options.gap;
    if (isNews || heldForFullWait || !this->active)
        return this->queryAfter(gap);
    this->queryAfter(std::max(gap, this->spaceRepeat("no_news", this->options.maxBackoff)));
}

} // namespace jaytrack
