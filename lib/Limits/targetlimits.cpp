#include "jaytrack/Limits/targetlimits.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace jaytrack {

namespace {

// Keepers that are asked for one request: the first one, and another if that one does not answer.
constexpr int mostAsked = 2;

// Words in one message: a datagram carries them. More targets than these hardly share a keeper.
constexpr std::size_t mostInMessage = 64;

} // namespace

TargetLimits::TargetLimits(const Clock &time, std::string ownName, std::size_t expected,
                           std::uint64_t seed, LimitTransport &others, TargetLimitOptions given)
    : clock(time)
    , spread(others)
    , options(given)
    , random(seed)
    , self(ownName)
    , expectedOthers(expected)
    , settlesFrom(time.now())
    , lastSeen(time.now())
    , toldAt(time.now())
    , limits(time)
    , fleet(time)
    , ranking(std::move(ownName))
{
}

// ---- Who keeps the account of a target ----

void TargetLimits::setInstances(std::span<const std::string> others)
{
    std::vector<std::string> newcomers;
    std::copy_if(others.begin(), others.end(), std::back_inserter(newcomers),
                 [this](const std::string &name) { return !this->fleet.isUp(name); });
    this->fleet.setInstances(others);
    this->rankSettled();
    if (newcomers.empty() || !this->isSettled())
        return;
    const LimitMessage kept = this->wordsKept();
    for (const std::string &name : newcomers) {
        if (!kept.isEmpty())
            this->spread.sendLimits(name, kept);
    }
}

void TargetLimits::noteHeldUp()
{
    const TimePoint now = this->clock.now();
    if (now - this->lastSeen >= this->options.heldUp) {
        this->settlesFrom = now;
        this->rankedAgainAt = now;
    }
    this->lastSeen = now;
}

bool TargetLimits::isSettled() const
{
    return this->clock.now() - this->settlesFrom >= this->options.settleTime;
}

// An instance that others have met only lately is left aside by all of them, since it is left
// aside by itself: it does not know them all yet. Those that this one met while it was new itself
// may be as old as the fleet. One that has just gone keeps its place for a while, in which others
// may still ask it.
void TargetLimits::rankSettled()
{
    const TimePoint now = this->clock.now();
    const TimePoint alike = this->settlesFrom + this->options.settleTime;
    std::vector<std::string> names;
    this->rankedAgainAt = TimePoint::max();
    for (const auto &[name, instance] : this->fleet.instances()) {
        const TimePoint since = instance.upSince;
        const TimePoint from = since <= alike ? since : since + this->options.settleTime;
        const TimePoint until = this->fleet.missedFrom(instance);
        if (from <= now && now < until)
            names.push_back(name);
        if (now < until)
            this->rankedAgainAt = std::min(this->rankedAgainAt, from > now ? from : until);
    }
    this->ranking.setOthers(names);
}

// The instance to ask: the first in the target's order that keeps accounts and answers.
std::optional<std::string> TargetLimits::keeperOf(std::string_view target)
{
    const TimePoint now = this->clock.now();
    if (now >= this->rankedAgainAt)
        this->rankSettled();
    const std::size_t gone = this->fleet.instances().size() - this->fleet.countUp();
    // Beyond those that are gone or passed over, and this one, there is one more.
    const std::size_t most = this->peers.size() + gone + 2;
    for (std::string &name : this->ranking.first(target, most)) {
        const auto peer = this->peers.find(name);
        const bool passedOver = peer != this->peers.end() && peer->second.passedOverUntil > now;
        const bool ready = name == this->self ? this->isSettled() : this->fleet.isUp(name);
        if (!passedOver && ready)
            return std::move(name);
    }
    return std::nullopt;
}

std::size_t TargetLimits::placeAt(std::string_view target)
{
    if (this->clock.now() >= this->rankedAgainAt)
        this->rankSettled();
    return this->ranking.ownPlace(target);
}

// The part of a target's limit that falls to those of the fleet that are up. The larger side of a
// split fleet grants the whole and the others their parts: together less than half too much.
double TargetLimits::fleetPart() const
{
    const std::size_t up = this->fleet.countUp() + 1;
    const std::size_t known = std::max(this->fleet.instances().size(), this->expectedOthers) + 1;
    if (2 * up > known)
        return 1;
    return static_cast<double>(up) / static_cast<double>(known);
}

// ---- What an account grants ----

LimitAccount::Rate TargetLimits::rateOf(std::string_view target, double perSecond)
{
    const auto place = static_cast<double>(this->placeAt(target));
    const double part = this->fleetPart() * std::pow(this->options.nextKeeperPart, place);
    LimitAccount::Rate rate;
    rate.perSecond = std::max(this->options.leastPerSecond, perSecond * part);
    if (part == 1)
        rate.saved = this->options.savedPermits + perSecond * this->options.savedSeconds;
    return rate;
}

LimitAccount &TargetLimits::accountOf(std::string_view target)
{
    return this->accounts.try_emplace(std::string(target), this->clock.now()).first->second;
}

Permit TargetLimits::decide(std::string_view asker, std::string_view target, double perSecond)
{
    const TimePoint now = this->clock.now();
    const LimitAccount::Rate rate = this->rateOf(target, perSecond);
    LimitAccount &account = this->accountOf(target);
    const std::size_t askers = account.noteAsker(now, asker);
    if (account.take(now, rate))
        return {true, Duration(0), this->self};
    return {false, this->restFor(account, rate, askers), this->self};
}

// Instances that were refused ask again at moments drawn apart, later the more of them there are.
Duration TargetLimits::restFor(const LimitAccount &account, const LimitAccount::Rate &rate,
                               std::size_t askers)
{
    const double others = static_cast<double>(askers) - 1;
    const double mean = others / (this->options.asksPerPermit * rate.perSecond);
    const double most = std::chrono::duration<double>(this->options.longestRest).count();
    std::uniform_real_distribution<double> drawn(0, std::min(2 * mean, most));
    const std::chrono::duration<double> apart(drawn(this->random));
    const Duration rest = account.untilNext(this->clock.now(), rate) +
                          std::chrono::duration_cast<Duration>(apart);
    return std::clamp(rest, this->options.shortestRest, this->options.longestRest);
}

// ---- What targets say ----

bool TargetLimits::recordLimit(std::string_view target, double perSecond)
{
    if (!this->limits.recordLimit(target, perSecond))
        return false;
    this->spread.broadcastLimits({{*this->limits.wordOf(target)}, {}, {}});
    return true;
}

bool TargetLimits::recordNoLimit(std::string_view target, Duration sentAgo)
{
    if (!this->limits.recordNoLimit(target, sentAgo))
        return false;
    this->spread.broadcastLimits({{*this->limits.wordOf(target)}, {}, {}});
    return true;
}

void TargetLimits::forget(std::string_view target)
{
    const std::string name(target);
    this->limits.forget(target);
    this->accounts.erase(name);
    this->restsUntil.erase(name);
}

// ---- Asking ----

Duration TargetLimits::remainingBackoff(std::string_view target) const
{
    const auto found = this->restsUntil.find(target);
    if (found == this->restsUntil.end() || !this->limits.find(target))
        return Duration(0);
    return std::max(Duration(0), found->second - this->clock.now());
}

std::optional<Permit> TargetLimits::request(std::string_view target, const Decided &later)
{
    this->noteHeldUp();
    const Duration resting = this->remainingBackoff(target);
    if (resting > Duration(0))
        return Permit{false, resting, {}};
    return this->ask(std::string(target), later, 1);
}

std::optional<Permit> TargetLimits::ask(const std::string &target, const Decided &later, int asked)
{
    const std::optional<double> perSecond = this->limits.find(target);
    if (!perSecond)
        return Permit{true, Duration(0), {}};
    const std::optional<std::string> keeper = this->keeperOf(target);
    if (!keeper)
        return this->concluded(target, {false, this->options.lookAgain, {}});
    if (*keeper == this->self)
        return this->concluded(target, this->decide(this->self, target, *perSecond));
    const std::int64_t serial = this->nextSerial++;
    const TimePoint deadline = this->clock.now() + this->options.answerBound;
    this->open.emplace(serial, Open{target, *keeper, later, deadline, asked});
    this->spread.sendLimits(*keeper, {{}, {{serial, *this->limits.wordOf(target), false}}, {}});
    return std::nullopt;
}

Permit TargetLimits::concluded(const std::string &target, const Permit &permit)
{
    if (permit.granted)
        return permit;
    const Duration rest = std::max(permit.wait, this->options.shortestRest);
    this->restsUntil.insert_or_assign(target, this->clock.now() + rest);
    return permit;
}

void TargetLimits::countSent(std::string_view target)
{
    const std::optional<double> perSecond = this->limits.find(target);
    if (!perSecond)
        return;
    const std::optional<std::string> keeper = this->keeperOf(target);
    if (!keeper)
        return;
    if (*keeper == this->self)
        return this->accountOf(target).spend(this->clock.now(), this->rateOf(target, *perSecond));
    this->spread.sendLimits(*keeper, {{}, {{0, *this->limits.wordOf(target), true}}, {}});
}

void TargetLimits::passOver(const std::string &keeper)
{
    Peer &peer = this->peers[keeper];
    peer.misses = 0;
    peer.passedOverUntil = this->clock.now() + this->options.passedOverFor;
}

// ---- What other instances say ----

bool TargetLimits::takeWord(const NamedLimits::Word &word)
{
    if (word.target.empty())
        return false;
    const bool wasLimited = this->limits.find(word.target).has_value();
    const bool news = this->limits.recordLimit(word.target, word.perSecond, word.namedAgo);
    if (word.endedAgo)
        this->limits.recordNoLimit(word.target, *word.endedAgo);
    const bool isLimited = this->limits.find(word.target).has_value();
    return wasLimited != isLimited || (isLimited && news);
}

std::vector<std::string> TargetLimits::onMessage(std::string_view from, const LimitMessage &news)
{
    this->noteHeldUp();
    std::vector<std::string> changed;
    for (const NamedLimits::Word &word : news.words) {
        if (this->takeWord(word))
            changed.push_back(word.target);
    }
    for (const PermitAsk &asked : news.asks)
        this->answerAsk(from, asked);
    for (const PermitAnswer &answer : news.answers)
        this->onAnswer(from, answer);
    return changed;
}

void TargetLimits::answerAsk(std::string_view from, const PermitAsk &asked)
{
    const std::string &target = asked.word.target;
    this->takeWord(asked.word);
    const std::optional<double> perSecond = this->limits.find(target);
    if (asked.counted) {
        if (perSecond)
            this->accountOf(target).spend(this->clock.now(), this->rateOf(target, *perSecond));
        return;
    }
    PermitAnswer answer;
    answer.serial = asked.serial;
    answer.keeps = this->isSettled();
    if (answer.keeps) {
        const Permit permit = perSecond ? this->decide(from, target, *perSecond)
                                        : Permit{true, Duration(0), this->self};
        answer.granted = permit.granted;
        answer.wait = permit.wait;
    }
    answer.word = this->limits.wordOf(target).value_or(asked.word);
    this->spread.sendLimits(from, {{}, {}, {std::move(answer)}});
}

void TargetLimits::onAnswer(std::string_view from, const PermitAnswer &answer)
{
    const auto found = this->open.find(answer.serial);
    if (found == this->open.end() || found->second.keeper != from)
        return;
    const Open question = std::move(found->second);
    this->open.erase(found);
    this->takeWord(answer.word);
    this->peers.erase(question.keeper);
    if (answer.keeps) {
        const Permit permit{answer.granted, answer.wait, question.keeper};
        return question.later(this->concluded(question.target, permit));
    }
    this->passOver(question.keeper);
    this->onNoAnswer(question);
}

void TargetLimits::onNoAnswer(const Open &question)
{
    const auto peer = this->peers.find(question.keeper);
    const bool passedOver =
            peer != this->peers.end() && peer->second.passedOverUntil > this->clock.now();
    std::optional<Permit> permit = Permit{false, this->options.answerBound, question.keeper};
    if (passedOver && question.asked < mostAsked)
        permit = this->ask(question.target, question.later, question.asked + 1);
    if (permit)
        question.later(this->concluded(question.target, *permit));
}

// ---- What falls due ----

std::optional<TimePoint> TargetLimits::nextStep() const
{
    if (this->open.empty())
        return std::nullopt;
    return this->open.begin()->second.deadline;
}

void TargetLimits::expire()
{
    const TimePoint now = this->clock.now();
    while (!this->open.empty() && this->open.begin()->second.deadline <= now) {
        const Open question = std::move(this->open.begin()->second);
        this->open.erase(this->open.begin());
        if (++this->peers[question.keeper].misses >= this->options.missesToPassOver)
            this->passOver(question.keeper);
        this->onNoAnswer(question);
    }
}

void TargetLimits::dropIdle()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->restsUntil, [now](const auto &entry) { return entry.second <= now; });
    std::erase_if(this->accounts,
                  [this](const auto &entry) { return !this->limits.find(entry.first); });
    std::erase_if(this->peers, [now, this](const auto &entry) {
        return !this->fleet.isUp(entry.first) && entry.second.passedOverUntil <= now;
    });
}

// The limits whose accounts this instance keeps, for others that start or missed a notice.
LimitMessage TargetLimits::wordsKept()
{
    LimitMessage news;
    for (const std::string &target : this->limits.limited()) {
        if (news.words.size() < mostInMessage && this->placeAt(target) == 0)
            news.words.push_back(*this->limits.wordOf(target));
    }
    return news;
}

void TargetLimits::tick()
{
    this->noteHeldUp();
    this->expire();
    const TimePoint now = this->clock.now();
    if (now - this->toldAt < this->options.tellGap)
        return;
    this->toldAt = now;
    this->dropIdle();
    if (!this->isSettled())
        return;
    const LimitMessage kept = this->wordsKept();
    if (!kept.isEmpty())
        this->spread.sendLimitsToSample(kept);
}

} // namespace jaytrack
