// Keeps up with one part of the platform's store: reads it whole, then follows its changes, and
// reads it whole again whenever a change may have been missed.
#ifndef JAYTRACK_PROXY_STOREFOLLOWER_H
#define JAYTRACK_PROXY_STOREFOLLOWER_H

#include "jaytrack/Net/targetcall.h"
#include "jaytrack/Routing/dialect.h"
#include "jaytrack/Support/clock.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace jaytrack {

// What a follower tells. The moment that goes with it is when the question was sent, so the state
// that it describes is at least as new as that.
class StoreFollowerListener
{
public:
    virtual ~StoreFollowerListener() = default;

    // Everything under the prefix, all pages together.
    virtual void onListing(const std::vector<StoreItem> &items, TimePoint asOf) = 0;

    // What changed since; nothing, if the wait ended without a change. An empty answer that came
    // before the wait was over confirms nothing and is not told.
    virtual void onChanges(const std::vector<StoreItem> &items, TimePoint asOf) = 0;

    // What another instance read. After an outage removals may be of entries that come back.
    virtual void onSharedChanges(const std::vector<StoreItem> &items, bool afterOutage) = 0;

    virtual void onStoreLost(std::string_view reason) = 0;
    virtual void onStoreRegained(Duration away) = 0;

    // The store came back from an older copy. What it had acknowledged since is not in it until it
    // is written again; the next listing is of the new history.
    virtual void onStoreReturned() = 0;
};

// Told what this instance itself read, so that it can be passed on.
class StoreReadListener
{
public:
    virtual ~StoreReadListener() = default;

    // Everything that changed after one revision up to another. From a listing nothing is passed
    // on; then both revisions are the same.
    virtual void onStoreRead(std::uint64_t from, std::uint64_t to,
                             const std::vector<StoreItem> &items) = 0;
};

struct StoreFollowerOptions
{
    std::string prefix; // what is followed; empty for everything
    asio::ip::tcp::endpoint store;

    // How long the store may hold a question that nothing answers. A silent connection is noticed
    // after it, and a confirmation is at most twice this old in calm times. Longer than a second,
    // since a store that loses its history first leaves watches deaf for as long: an empty answer
    // to a shorter question could hide a change.
    std::chrono::milliseconds wait{1050};

    // Drawn anew for each question and added to it: one change wakes the questions of all
    // instances, and without this all would be confirmed, and grow old, in step.
    std::chrono::milliseconds waitJitter{150};

    // How long a change that another instance knows may be on its way here. Notices of several
    // readers overtake each other by milliseconds, and each makes up for the other's losses.
    std::chrono::milliseconds patience{150};

    // And so much longer for each instance, up to the most: a configuration is passed on no faster
    // than slow links carry it, 0.3 s for a fleet of 195. 0.5 s is an eighth of the time that a
    // change may take there.
    std::chrono::milliseconds patiencePerInstance{2};
    std::chrono::milliseconds mostPatience{500};

    // The longest pause between failed calls. Short, so that keys are confirmed well within their
    // bound; longer for an instance that others can tell, since the calls of a whole fleet to a
    // store in trouble are priced and help nobody.
    std::chrono::milliseconds mostBackoff{250};
    std::chrono::milliseconds mostBackoffIfTold{1500};

    // After a return from an older copy every instance has to list the store again, since what
    // others pass on says nothing of what is gone. Those that others tell do so one after another,
    // a hundred calls a second at most, and use what they know meanwhile.
    std::chrono::milliseconds relistPerInstance{10};
    std::chrono::milliseconds mostRelist{2000};

    // Pause after an answer with changes. Calls are priced and counted against the store's rate,
    // while several changes fit into one answer.
    std::chrono::milliseconds gap{0};
};

class StoreFollower final : public TargetCallListener,
                            public std::enable_shared_from_this<StoreFollower>
{
public:
    StoreFollower(asio::io_context &loop, const Clock &time, const Dialect &words,
                  StoreFollowerOptions given, std::uint64_t seed, StoreFollowerListener &to,
                  StoreReadListener &readBy);

    void start();
    void stop();

    // An inactive follower asks nothing by itself and lives on what applyShared() brings.
    void setActive(bool wanted);

    // Whether other instances read the store and tell this one.
    void setTold(bool byOthers) { this->told = byOthers; }

    // How many instances there are, this one among them.
    void setInstances(std::size_t count);

    // Takes what another instance read. If a change in between is missing or was left out, the
    // store is asked once.
    void applyShared(std::uint64_t from, std::uint64_t to, const std::vector<StoreItem> &items,
                     bool incomplete, bool afterOutage = false);

    // Another instance knows this revision. If nobody passes it on within a moment, the store is
    // asked.
    void catchUp(std::uint64_t to);

    // Another instance speaks of this history of the store. Returns false if it is an older one, of
    // which nothing holds any more; a newer one makes this instance list the store again. 0 is told
    // by one that knows no number.
    bool hearEra(std::uint64_t heard);

    // The history that the known revision belongs to; 0 if the store tells none.
    std::uint64_t knownEra() const { return this->era; }

    // To be called some times a second.
    void tick();

    // The newest revision of which everything is known; 0 before the first listing.
    std::uint64_t knownRevision() const { return this->listing ? 0 : this->revision; }

private:
    void ask();
    bool belongsToKnownEra();
    void enterEra(std::uint64_t next, std::string_view source, std::chrono::milliseconds pause);
    void catchUpNow(std::string_view cause);
    void askLater(std::chrono::milliseconds delay);
    void onAnswerHead(MessageHead head) override;
    void onAnswerBody(std::string_view bytes) override;
    void onCallEnd(const TargetCallEnd &end) override;
    void onTimeout();
    void failed(std::string_view reason);
    void succeeded();
    void takePage();
    void takeChanges();

    asio::io_context &context;
    asio::steady_timer timer;
    const Clock &clock;
    const Dialect &dialect;
    StoreFollowerOptions options;
    std::mt19937_64 random;
    StoreFollowerListener &listener;
    StoreReadListener &reads;
    std::shared_ptr<TargetCall> call;
    TimePoint askedAt;
    std::chrono::milliseconds askedWait{0};
    TimePoint listingAskedAt;
    TimePoint lastAnswer;
    int status = 0;
    std::optional<std::uint64_t> answerEra;
    std::string body;
    std::uint64_t era = 0;
    TimePoint eraSince; // when it was learnt here
    std::size_t instances = 1;
    bool listing = true;
    std::string pageAfter;
    std::vector<StoreItem> listed;
    std::uint64_t revision = 0;
    int failures = 0;
    bool lost = false;
    bool stopped = false;
    bool active = true;
    bool told = false;
    std::chrono::milliseconds patience;
    std::uint64_t heardOf = 0; // the newest revision that another instance said it knows
    TimePoint behindSince;
    bool waiting = false; // a call is under way or planned
};

} // namespace jaytrack

#endif
