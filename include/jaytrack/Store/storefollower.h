// Follows one part of the platform's store: lists it completely, then watches for changes, and
// lists it again whenever a change may have been missed.
#ifndef JAYTRACK_STORE_STOREFOLLOWER_H
#define JAYTRACK_STORE_STOREFOLLOWER_H

#include "jaytrack/Net/targetcall.h"
#include "jaytrack/Peers/sharedchanges.h"
#include "jaytrack/Routing/dialect.h"
#include "jaytrack/Store/callpacing.h"
#include "jaytrack/Store/storelisting.h"
#include "jaytrack/Support/clock.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace jaytrack {

// Receives what a follower reads. asOf is the time at which the query was sent, so the data is at
// least as recent as that.
class StoreFollowerListener
{
public:
    virtual ~StoreFollowerListener() = default;

    // All items under the prefix, from all pages.
    virtual void onListing(const std::vector<StoreItem> &items, TimePoint asOf) = 0;

    // Changes since the last call; empty if the wait ended without a change. An empty answer that
    // arrived before the end of the wait confirms nothing and is not reported.
    virtual void onChanges(const std::vector<StoreItem> &items, TimePoint asOf) = 0;

    // Changes read by another instance. If afterOutage is set, removed entries may be restored.
    virtual void onSharedChanges(const std::vector<StoreItem> &items, bool afterOutage) = 0;

    // Returns the keys of the items that are known to be in the store, as far as the listener keeps
    // them. A listing that lacks one of them shows that it was deleted.
    virtual std::vector<std::string> storedKeys() const { return {}; }

    // An answer held this many items without a readable key, which are left out.
    virtual void onNamelessItems(std::size_t) {}

    // The store answered a page of a listing with nothing new, though it has more.
    virtual void onListingStuck() {}

    virtual void onStoreLost(std::string_view reason) = 0;
    virtual void onStoreRegained(Duration away) = 0;

    // The store was restored from an older copy. Changes acknowledged after that copy was made are
    // missing until they are written again; the next listing belongs to the new history.
    virtual void onStoreRestored() = 0;

    // The store may have been restored shortly before this instance started, which the instance
    // cannot notice by itself.
    virtual void onStoreMaybeRestored() {}

    // Whether what was read is known to have been the newest at some time.
    virtual bool isConfirmed() const { return true; }
};

// Receives what this instance itself read, to send it to the others.
class StoreReadListener
{
public:
    virtual ~StoreReadListener() = default;

    // All changes after revision from, up to and including revision to. Of the first listing, and
    // of one after the store was restored, nothing is shared: items is empty and both revisions are
    // the same.
    virtual void onStoreRead(std::uint64_t from, std::uint64_t to,
                             const std::vector<StoreItem> &items) = 0;
};

// The platform restores expired entries, and writes again what the store has lost by a return from
// an older copy, within about two seconds after the store is available again; an entry that is
// still missing then belongs to a target that is gone.
inline constexpr std::chrono::milliseconds restoreTime{2200};

// Time after which the entry of a target that does not renew it has lapsed: three renewals, which
// are about a second apart, and some more for the removal to arrive.
inline constexpr std::chrono::milliseconds lapsePeriod{6000};

struct StoreFollowerOptions
{
    std::string prefix; // key prefix to follow; empty for everything
    asio::ip::tcp::endpoint store;

    // The first listing reads the keys under this prefix from replicas that may lag, except those
    // on its first page; empty for none. A fleet of 584 instances that start together otherwise
    // makes as many calls for its 6,002 targets as the store allows in half a second.
    std::string stalePrefix;

    // How long the store may hold a watch without a change. A dead connection is detected after
    // this time, and normally a confirmation is at most twice this old. The wait is longer than one
    // second because a store that loses its history first stops reporting changes to watches for
    // that long: an empty answer to a shorter watch could hide a change.
    std::chrono::milliseconds wait{1050};

    // Maximum random addition to each wait. A change ends the watches of all instances at once;
    // without jitter, the data of all instances would be confirmed and become old at the same time.
    std::chrono::milliseconds waitJitter{150};

    // How long to wait for a change that another instance already has. Notices from several readers
    // arrive within milliseconds of each other, and each compensates for losses of the others.
    std::chrono::milliseconds sharedChangeWait{150};

    // Addition to that wait per instance, and its upper bound. Slow links limit how fast a
    // configuration spreads: 0.3 s for a fleet of 195. 0.5 s is an eighth of the time allowed for a
    // change there.
    std::chrono::milliseconds sharedChangeWaitPerInstance{2};
    std::chrono::milliseconds maxSharedChangeWait{500};

    // Maximum back-off between failed calls. It is short so that keys are confirmed well within
    // their bound. It is longer for an instance that gets updates from others, since calls of a
    // whole fleet to a failing store are priced and useless.
    std::chrono::milliseconds maxBackoff{250};
    std::chrono::milliseconds maxBackoffWithUpdates{1500};

    // After the store was restored from an older copy, every instance needs a whole listing, since
    // changes passed on by others do not show which entries are gone. Instances that get updates
    // from others spread their calls to at most a hundred a second and use their current data
    // meanwhile; of a store with several pages they get a snapshot from one that has listed it.
    // They do the same where the store has lost its history, and mostly get the missing changes
    // from an instance that has listed it by then.
    std::chrono::milliseconds relistDelayPerInstance{10};
    std::chrono::milliseconds maxRelistDelay{2000};

    // Pause after an answer with changes. Calls are priced and count towards the store's rate
    // limit, while one answer can hold several changes.
    std::chrono::milliseconds gap{0};

    // Whether the system has run before this instance started, so that the store may have been
    // restored from an older copy just then.
    bool systemRanBefore = false;
};

class StoreFollower final : public TargetCallListener,
                            public std::enable_shared_from_this<StoreFollower>
{
public:
    StoreFollower(asio::io_context &loop, const Clock &time, const Dialect &platform,
                  StoreFollowerOptions followerOptions, std::uint64_t seed,
                  StoreFollowerListener &followerListener, StoreReadListener &readListener);

    void start();
    void stop();

    // An inactive follower makes no calls of its own and relies on applyShared().
    void setActive(bool wanted);

    // Whether an inactive follower that has no listing of the current era stops after the first
    // page, which is all of a small store, and waits for adoptSnapshot().
    void setAwaitsSnapshot(bool wanted) { this->awaitsSnapshot = wanted; }

    // Whether other instances read the store and send updates to this one.
    void setReceivesUpdates(bool byOthers) { this->receivesUpdates = byOthers; }

    // Sets the number of instances, including this one.
    void setInstances(std::size_t count);

    // Applies what another instance read. If a change in between is missing or was left out,
    // queries the store once.
    void applyShared(std::uint64_t from, std::uint64_t to, const std::vector<StoreItem> &items,
                     bool incomplete, bool afterOutage = false);

    // Records that another instance has this revision. If it is not received from others within the
    // wait for shared changes, the store is queried.
    void catchUp(std::uint64_t to);

    // Takes over all that another instance held at this revision, which the listener has got
    // already. Only if hasListed() is false and holdsNewer() as well.
    void adoptSnapshot(std::uint64_t snapshotEra, std::uint64_t at);

    // Takes over a snapshot in place of a listing of the same era, and reads again what has changed
    // since.
    void replaceListing(std::uint64_t snapshotEra, std::uint64_t at);

    // Returns when this instance learnt that the store was restored; nothing if it was not.
    std::optional<TimePoint> restoredAt() const { return this->lastRestore; }

    // Whether this instance holds all items of the store in the current era, and does not fail to
    // list them again.
    bool hasListed() const { return this->listedInEra && !(this->listing && this->lost); }

    // Whether this instance knew more than what the store held at this revision of the current era.
    bool holdsNewer(std::uint64_t at) const { return this->revisionBeforeListing > at; }

    // Records the store history (era) that another instance refers to. Returns false if it is older
    // than the known one, so that its data is no longer valid. A newer era makes this instance list
    // the store again. 0 means that the other instance does not know the number.
    bool updateEra(std::uint64_t announced);

    // The history to which the known revision belongs; 0 if the store reports none.
    std::uint64_t knownEra() const { return this->era; }

    // Must be called a few times a second.
    void tick();

    // The revision up to which all changes are known; 0 before the first listing, and until the
    // changes that a stale listing may lack have been read.
    std::uint64_t knownRevision() const
    {
        return this->listing || this->listedStale ? 0 : this->revision;
    }

private:
    void query();
    bool belongsToKnownEra();
    void listAfterRewrites();
    void onFirstEra();
    void confirmAfterRewrites(bool always);
    void enterEra(std::uint64_t next, std::string_view source, std::chrono::milliseconds pause);
    void queryMissing(std::string_view cause);
    std::chrono::milliseconds spaceRepeat(std::string_view cause,
                                          std::chrono::milliseconds maxInterval);
    void reportSpacing(std::string_view cause);
    std::chrono::milliseconds answerTimeout() const;
    void useEarlyChanges(const std::vector<StoreItem> &items, bool afterOutage);
    void keepEarlyChanges(SharedChanges changes);
    void applyEarlyChanges();
    void queryAfter(std::chrono::milliseconds delay);
    void onAnswerHead(MessageHead head) override;
    void onAnswerBody(std::string_view bytes) override;
    void onCallEnd(const TargetCallEnd &end) override;
    void onTimeout();
    void failed(std::string_view reason);
    void succeeded();
    void onHistoryGone();
    std::chrono::milliseconds drawRelistDelay();
    void startListing();
    std::vector<StoreItem> changesInListing(const std::vector<StoreItem> &whole) const;
    ReadFreshness pageFreshness() const;
    void reject(const Error &error);
    void logProgress(const StorePage &page);
    void applyPage();
    bool addToListing(StorePage &page);
    void onListingStuck(std::string_view reason);
    void completeListing();
    void applyChanges();

    asio::io_context &context;
    asio::steady_timer timer;
    asio::steady_timer rewriteTimer;
    const Clock &clock;
    const Dialect &dialect;
    StoreFollowerOptions options;
    std::mt19937_64 random;
    StoreFollowerListener &listener;
    StoreReadListener &reads;
    std::shared_ptr<TargetCall> call;
    TimePoint querySentAt;
    std::uint64_t queriedRevision = 0; // after which the last watch asked for changes
    ReadFreshness queryFreshness = ReadFreshness::Current; // of the last listing call
    std::chrono::milliseconds requestedWait{0};
    TimePoint listingStartedAt;
    TimePoint progressLoggedAt;
    std::size_t pagesRead = 0; // of the listing under way
    TimePoint lastAnswer;
    int status = 0;
    std::optional<std::uint64_t> answerEra;
    std::string body;
    std::uint64_t era = 0;
    TimePoint eraSince; // when this instance learnt of it
    std::optional<TimePoint> lastRestore;
    std::size_t instances = 1;
    bool listing = true;
    std::uint64_t revisionBeforeListing = 0; // 0 if there was none of the same history
    std::optional<TimePoint> relistAt;       // the watch was refused; lists then if still behind
    StoreListing pages;
    bool mayListStale = true; // until the first listing is complete or has to be repeated
    bool listedStale = false; // the last listing may lack changes that no watch has reported yet
    std::uint64_t revision = 0;
    int failures = 0;
    int unanswered = 0; // calls in a row whose answers did not arrive in time
    bool listedInEra = false;
    bool holdsData = false; // of the current era or an earlier one
    bool awaitsSnapshot = false;
    std::vector<SharedChanges> earlyChanges; // received before the era's listing, oldest first
    bool lost = false;
    bool stopped = false;
    bool active = true;
    bool receivesUpdates = false;
    std::chrono::milliseconds sharedChangeWait;
    std::uint64_t announcedRevision = 0; // newest revision reported by another instance
    TimePoint behindSince;
    bool waiting = false; // a call is in progress or scheduled
    CallPacing repeats;   // of calls whose answers brought nothing new
};

} // namespace jaytrack

#endif
