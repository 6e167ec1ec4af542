#include "jaytrack/Peers/peerlink.h"

#include "jaytrack/Net/hostaddress.h"
#include "jaytrack/Net/socket.h"
#include "jaytrack/Routing/targetentrycheck.h"
#include "jaytrack/Support/digest.h"
#include "jaytrack/Support/log.h"
#include "jaytrack/Wire/codec.h"

#include "peer_types.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace jaytrack {

namespace {

constexpr std::chrono::milliseconds tickInterval{100};

// Interval at which queued datagrams are sent; the pacer allows 5 KB in it.
constexpr std::chrono::milliseconds paceInterval{5};

// Maximum number of queued large datagrams: enough for two changes sent to 340 instances.
constexpr std::size_t maxPacedDatagrams = 512;

constexpr std::chrono::seconds dropLogPeriod{1};

// Maximum size of a fragment, so that it fits into a datagram with what is sent beside it.
constexpr std::size_t maxFragmentBytes = 4096;

std::int64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

Member describeSelf(const PeerLinkSettings &settings)
{
    Member self;
    self.name = settings.name;
    self.dataCentre = settings.dataCentre;
    self.peerAddress = settings.listen;
    self.callerAddress = settings.listen;
    self.incarnation = newIncarnation();
    self.state = MemberState::Live;
    return self;
}

Result<asio::ip::udp::endpoint> parseDatagramEndpoint(std::string_view address)
{
    const auto parsed = parseEndpoint(address);
    if (!parsed)
        return parsed.error();
    return asio::ip::udp::endpoint(parsed.value().address(), parsed.value().port());
}

// An instance whose address cannot be connected to would be asked in vain.
std::vector<RelayPeer> relayPeersAmong(const std::vector<Member> &members)
{
    std::vector<RelayPeer> peers;
    peers.reserve(members.size());
    for (const Member &member : members) {
        if (member.acceptsWork() && isHostAddress(member.peerAddress))
            peers.push_back({member.name, member.dataCentre, member.peerAddress});
    }
    return peers;
}

wire::LimitNotices &limitsOf(wire::EntryNotices &message, LimitKind kind)
{
    return kind == LimitKind::Named ? message.limits : message.imposedLimits;
}

// A longer time between two events is an error, and the largest ones would overflow a Duration.
constexpr std::chrono::microseconds maxEventInterval = std::chrono::minutes(1);

// A restore of the store that is longer ago has no effect on any instance.
constexpr std::chrono::microseconds maxSinceRestore = std::chrono::minutes(1);

// Data of the store that is older is as good as none.
constexpr std::chrono::microseconds maxFreshnessAge = std::chrono::hours(24);

std::int64_t toMicros(Duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

wire::FreshnessAnswer toNotice(const StoreFreshness &freshness)
{
    wire::FreshnessAnswer answer;
    answer.ageMicros = toMicros(freshness.age);
    answer.revision = static_cast<std::int64_t>(freshness.revision);
    answer.era = static_cast<std::int64_t>(freshness.era);
    // 0 stands for no restore.
    if (freshness.sinceRestore)
        answer.restoredAgoMicros = std::max<std::int64_t>(1, toMicros(*freshness.sinceRestore));
    return answer;
}

// Converts a time of another instance. Numbers out of range are an error of the sender, and large
// ones would overflow a Duration.
Duration toTime(std::int64_t micros, std::chrono::microseconds longest)
{
    return std::chrono::microseconds(std::clamp<std::int64_t>(micros, 0, longest.count()));
}

// Whether the numbers can be those of a store. As unsigned numbers, negative ones would be later
// than each that the store gives.
bool isPlausible(const wire::FreshnessAnswer &answer)
{
    return answer.ageMicros >= 0 && answer.revision >= 0 && answer.era >= 0;
}

StoreFreshness fromNotice(const wire::FreshnessAnswer &answer)
{
    StoreFreshness freshness;
    freshness.age = toTime(answer.ageMicros, maxFreshnessAge);
    freshness.revision = static_cast<std::uint64_t>(answer.revision);
    freshness.era = static_cast<std::uint64_t>(answer.era);
    const std::chrono::microseconds sinceRestore(answer.restoredAgoMicros);
    if (sinceRestore.count() > 0 && sinceRestore <= maxSinceRestore)
        freshness.sinceRestore = sinceRestore;
    return freshness;
}

std::uint32_t toTokens(std::int64_t number)
{
    static constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(number, 0, most));
}

std::string textOf(const asio::ip::udp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

PeerLink::PeerLink(asio::io_context &loop, const Clock &time, PeerLinkSettings linkSettings,
                   std::uint64_t seed, EngineShares &engineShares, PeerLinkListener &linkListener)
    : settings(std::move(linkSettings))
    , keys(this->settings.keys)
    , listener(linkListener)
    , socket(loop)
    , timer(loop)
    , pacer(time)
    , paceTimer(loop)
    , dropLogAllowance(time, 1, dropLogPeriod)
    , joiner(time)
    , nextBatch(newIncarnation())
    , membership(describeSelf(this->settings), time, seed, this->keys, *this, *this)
    , spread(this->settings.dataCentre)
    , random(seed)
    , shares(engineShares)
{
}

Result<void> PeerLink::open()
{
    const auto endpoint = parseDatagramEndpoint(this->settings.listen);
    if (!endpoint)
        return endpoint.error();
    asio::error_code failure;
    this->socket.open(endpoint.value().protocol(), failure);
    if (!failure)
        this->socket.bind(endpoint.value(), failure);
    if (failure)
        return Error{ResultCode::SettingsContradiction, "cannot bind peers: " + failure.message()};
    this->membership.suggest(this->settings.seeds);
    this->receiveNext();
    this->tick();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PeerLink::tick()
{
    this->membership.tick();
    if (this->membersChanged)
        this->updatePeers();
    this->sendReleases();
    this->logDroppedNotices();
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const asio::error_code &failure) {
        if (!failure)
            this->tick();
    });
}

void PeerLink::receiveNext()
{
    this->socket.async_receive_from(
            asio::buffer(this->buffer), this->sender,
            [this](const asio::error_code &failure, std::size_t bytes) {
                if (failure == asio::error::operation_aborted)
                    return;
                // If nobody listens at the destination of a datagram, the socket reports an error
                // here.
                if (!failure)
                    this->membership.receive(textOf(this->sender), {this->buffer.data(), bytes});
                this->receiveNext();
            });
}

// Queues large datagrams. A full queue drops new ones, as a congested link would.
void PeerLink::send(std::string_view address, std::string datagram)
{
    if (this->paced.empty() && this->pacer.take(datagram.size()))
        return this->sendNow(address, datagram);
    if (this->pacer.isSmall(datagram.size()))
        return this->sendNow(address, datagram);
    if (this->paced.size() >= maxPacedDatagrams) {
        ++this->droppedNotices;
        return;
    }
    this->paced.emplace_back(address, std::move(datagram));
    if (this->paced.size() == 1)
        this->sendPaced();
}

void PeerLink::logDroppedNotices()
{
    if (this->droppedNotices == 0 || !this->dropLogAllowance.take())
        return;
    logEvent(Severity::Warning, "notices_dropped",
             {{"count", static_cast<std::int64_t>(this->droppedNotices)},
              {"queued", static_cast<std::int64_t>(this->paced.size())}});
    this->droppedNotices = 0;
}

void PeerLink::sendPaced()
{
    while (!this->paced.empty() && this->pacer.take(this->paced.front().second.size())) {
        this->sendNow(this->paced.front().first, this->paced.front().second);
        this->paced.pop_front();
    }
    if (this->paced.empty())
        return;
    this->paceTimer.expires_after(paceInterval);
    this->paceTimer.async_wait([this](const asio::error_code &failure) {
        if (!failure)
            this->sendPaced();
    });
}

void PeerLink::sendNow(std::string_view address, const std::string &datagram)
{
    const auto endpoint = parseDatagramEndpoint(address);
    if (!endpoint)
        return;
    asio::error_code ignored; // the protocol tolerates lost datagrams
    this->socket.send_to(asio::buffer(datagram), endpoint.value(), 0, ignored);
}

// When a fleet starts, hundreds of members are discovered within a second. The changes are batched
// until the next tick.
void PeerLink::onMembersChanged()
{
    this->membersChanged = true;
}

void PeerLink::updatePeers()
{
    this->membersChanged = false;
    std::vector<Member> others = this->membership.members();
    std::erase_if(others, [this](const Member &member) {
        return member.name == this->settings.name || !member.isUp();
    });
    std::vector<std::string> names;
    names.reserve(others.size());
    for (const Member &member : others)
        names.push_back(member.name);
    this->listener.onRelayPeersChanged(relayPeersAmong(others));
    // A member that restarted may have moved to another data centre.
    this->spread.setPeers(others);
    if (names == this->peers)
        return;
    logEvent(Severity::Info, "peers_changed",
             {{"peers", static_cast<std::int64_t>(names.size())},
              {"before", static_cast<std::int64_t>(this->peers.size())}});
    this->peers = std::move(names);
    this->shares.setInstances(this->peers);
    this->listener.onPeersChanged(this->peers);
}

void PeerLink::announce(std::string_view engine, const GenerationNeed &need, bool copied)
{
    wire::PlacementNotice notice;
    notice.engine = engine;
    notice.promptTokens = need.promptTokens;
    notice.expectedTokens = need.outputTokens;
    notice.copied = copied;
    wire::EntryNotices message;
    message.placements.push_back(std::move(notice));
    this->sendToAssignees(engine, message);
}

void PeerLink::announceReleased(std::string_view engine, std::uint32_t tokens)
{
    this->releases[std::string(engine)] += tokens;
}

void PeerLink::announcePauses(std::string_view engine, bool pausedTooLong)
{
    this->pauses[std::string(engine)].push_back(pausedTooLong);
}

void PeerLink::announceFailed(std::string_view engine)
{
    wire::EntryNotices message;
    message.failedEngines.emplace_back(engine);
    this->sendToAssignees(engine, message);
}

void PeerLink::announceLeaving(std::string_view target)
{
    wire::EntryNotices message;
    message.leavingTargets.emplace_back(target);
    this->broadcast(message);
}

void PeerLink::announceCold(std::string_view target, Duration left)
{
    wire::ColdNotice notice;
    notice.target = target;
    notice.leftMicros = std::chrono::duration_cast<std::chrono::microseconds>(left).count();
    wire::EntryNotices message;
    message.coldTargets.push_back(std::move(notice));
    this->broadcast(message);
}

void PeerLink::broadcastQuarantine(const QuarantineMessage &news)
{
    wire::EntryNotices message;
    message.quarantine = toNotices(news);
    this->broadcast(message);
}

void PeerLink::sendQuarantineToSample(const QuarantineMessage &news)
{
    wire::EntryNotices message;
    message.quarantine = toNotices(news);
    this->sendToSample(message);
}

void PeerLink::sendToSample(const wire::EntryNotices &message)
{
    std::vector<std::string> sampledPeers;
    std::sample(this->peers.begin(), this->peers.end(), std::back_inserter(sampledPeers),
                gossipFanout, this->random);
    this->membership.sendPolicy(sampledPeers, encodeMessage(message));
}

void PeerLink::sendLimits(std::string_view peer, LimitKind kind, const LimitMessage &news)
{
    wire::EntryNotices message;
    limitsOf(message, kind) = toNotices(news);
    this->membership.sendPolicy(peer, encodeMessage(message));
}

void PeerLink::sendRetryPermits(std::string_view peer, const LimitMessage &content)
{
    wire::EntryNotices message;
    message.retryPermits = toNotices(content);
    this->membership.sendPolicy(peer, encodeMessage(message));
}

void PeerLink::sendStreamVersions(std::string_view peer, const StreamVersionMessage &content)
{
    wire::EntryNotices message;
    message.__set_streamVersions(toNotices(content));
    this->membership.sendPolicy(peer, encodeMessage(message));
}

void PeerLink::broadcastLimits(LimitKind kind, const LimitMessage &news)
{
    wire::EntryNotices message;
    limitsOf(message, kind) = toNotices(news);
    this->broadcast(message);
}

void PeerLink::sendLimitsToSample(LimitKind kind, const LimitMessage &news)
{
    wire::EntryNotices message;
    limitsOf(message, kind) = toNotices(news);
    this->sendToSample(message);
}

// Moves the pauses at the engine into the message.
void PeerLink::takePauses(std::string_view engine, wire::EntryNotices &message)
{
    const auto found = this->pauses.find(engine);
    if (found == this->pauses.end())
        return;
    for (const bool pausedTooLong : found->second) {
        wire::PauseNotice notice;
        notice.engine = engine;
        notice.pausedTooLong = pausedTooLong;
        message.pauses.push_back(std::move(notice));
    }
    this->pauses.erase(found);
}

// Sends a single message if all instances receive notices for every engine, otherwise one per
// engine.
void PeerLink::sendReleases()
{
    wire::EntryNotices message;
    for (const auto &[engine, tokens] : this->releases) {
        wire::ReleaseNotice notice;
        notice.engine = engine;
        notice.tokens = tokens;
        message.releases.push_back(std::move(notice));
        this->takePauses(engine, message);
        if (this->shares.usesAllEngines())
            continue;
        this->sendToAssignees(engine, message);
        message.releases.clear();
        message.pauses.clear();
    }
    this->releases.clear();
    // Pauses at engines where nothing was released.
    while (!this->pauses.empty()) {
        const std::string engine = this->pauses.begin()->first;
        this->takePauses(engine, message);
        if (this->shares.usesAllEngines())
            continue;
        this->sendToAssignees(engine, message);
        message.pauses.clear();
    }
    if (!message.releases.empty() || !message.pauses.empty())
        this->broadcast(message);
}

void PeerLink::announce(std::string_view engine, const EngineLoad &load)
{
    wire::LoadNotice notice;
    notice.engine = engine;
    notice.waiting = load.waiting;
    notice.running = load.running;
    notice.memoryInUse = load.memoryInUse;
    notice.memoryTokens = load.memoryTokens;
    notice.leaving = load.leaving;
    notice.firstWaitingTokens = load.firstWaitingTokens;
    notice.eventIntervalMicros =
            std::chrono::duration_cast<std::chrono::microseconds>(load.eventInterval).count();
    wire::EntryNotices message;
    message.loads.push_back(std::move(notice));
    this->sendToAssignees(engine, message);
}

// Values that are larger even when compressed are not shared, so instances read them directly from
// the store: a small machine would send them for more than a second.
constexpr std::size_t maxSharedBytes = 131'072;

void PeerLink::shareStoreChanges(const SharedChanges &changes)
{
    const std::vector<SpreadTarget> targets = this->spread.spread(this->random);
    for (const SharedChanges &part : splitChanges(changes, maxSharedBytes)) {
        wire::EntryNotices changed;
        changed.stores.push_back(toNotice(part));
        const std::string bytes = encodeMessage(changed);
        for (const NoticeFragment &fragment :
             fragmentsOf(bytes, this->nextBatch++, maxFragmentBytes)) {
            wire::EntryNotices message;
            message.fragments.push_back(toNotice(fragment));
            this->sendSpread(targets, message);
        }
    }
}

void PeerLink::sendSpread(const std::vector<SpreadTarget> &targets, wire::EntryNotices &message)
{
    for (const SpreadTarget &target : targets) {
        const SpreadRange range = target.passOn.value_or(SpreadRange());
        message.spread.passOn = target.passOn.has_value();
        message.spread.offset = static_cast<std::int64_t>(range.offset);
        message.spread.first = static_cast<std::int64_t>(range.first);
        message.spread.last = static_cast<std::int64_t>(range.last);
        this->membership.sendPolicy(target.name, encodeMessage(message));
    }
}

void PeerLink::passOn(std::string_view from, wire::EntryNotices &message)
{
    if (message.origin.empty())
        message.origin = from;
    const SpreadRange range{static_cast<std::uint64_t>(message.spread.offset),
                            static_cast<std::uint64_t>(message.spread.first),
                            static_cast<std::uint64_t>(message.spread.last)};
    this->sendSpread(this->spread.passOn(range, message.origin), message);
}

void PeerLink::onFragments(std::string_view origin, const wire::EntryNotices &message)
{
    for (const wire::FragmentNotice &notice : message.fragments) {
        const std::optional<std::string> whole = this->joiner.add(origin, fromNotice(notice));
        const auto joined = whole ? decodeMessage<wire::EntryNotices>(*whole) : std::nullopt;
        if (!joined)
            continue;
        this->onStores(*joined);
    }
}

void PeerLink::onStores(const wire::EntryNotices &message)
{
    for (const wire::StoreNotice &notice : message.stores) {
        if (const auto changes = fromNotice(notice))
            this->listener.onStoreFromPeer(*changes);
    }
}

void PeerLink::sendFreshnessQuery(std::string_view peer, std::int64_t requestedAt)
{
    wire::FreshnessAsk ask;
    ask.askedAt = requestedAt;
    wire::EntryNotices message;
    message.asks.push_back(ask);
    this->membership.sendPolicy(peer, encodeMessage(message));
}

void PeerLink::sendFreshnessAnswer(std::string_view peer, std::int64_t requestedAt,
                                   const StoreFreshness &freshness)
{
    wire::EntryNotices message;
    message.answers.push_back(toNotice(freshness));
    message.answers.back().askedAt = requestedAt;
    this->membership.sendPolicy(peer, encodeMessage(message));
}

// The data centre's own instances may all have nothing to tell.
std::string PeerLink::randomInstance()
{
    static constexpr std::uint64_t distantPicks = 4; // one pick in so many
    const std::vector<std::string> &near = this->spread.neighbours();
    const bool picksNear = !near.empty() && this->random() % distantPicks != 0;
    const std::vector<std::string> &among = picksNear ? near : this->peers;
    return among.empty() ? std::string() : among[this->random() % among.size()];
}

std::string PeerLink::addressOf(std::string_view instance) const
{
    const Member *member = this->membership.find(instance);
    return member == nullptr ? std::string() : member->peerAddress;
}

void PeerLink::broadcast(wire::EntryNotices &message)
{
    const NoticeFanout::Recipients recipients = this->spread.recipients(this->random);
    this->membership.sendPolicy(recipients.direct, encodeMessage(message));
    message.relay = true;
    this->membership.sendPolicy(recipients.relays, encodeMessage(message));
}

void PeerLink::sendToAssignees(std::string_view engine, wire::EntryNotices &message)
{
    if (this->shares.usesAllEngines())
        return this->broadcast(message);
    this->membership.sendPolicy(this->shares.otherAssignees(engine), encodeMessage(message));
}

void PeerLink::relayMessage(std::string_view from, wire::EntryNotices &message)
{
    message.relay = false;
    message.origin = from;
    this->membership.sendPolicy(this->spread.neighbours(), encodeMessage(message));
}

void PeerLink::onPolicyMessage(std::string_view from, std::string_view bytes)
{
    auto message = decodeMessage<wire::EntryNotices>(bytes);
    if (!message)
        return;
    if (message->relay)
        this->relayMessage(from, *message);
    if (message->spread.passOn)
        this->passOn(from, *message);
    // Failures are counted per instance, so they are attributed to the origin, not the relay.
    const std::string_view origin =
            message->origin.empty() ? from : std::string_view(message->origin);
    this->onFragments(origin, *message);
    for (const wire::PlacementNotice &notice : message->placements) {
        const GenerationNeed need{toTokens(notice.promptTokens), toTokens(notice.expectedTokens)};
        this->listener.onPlacedByPeer(notice.engine, need, notice.copied);
    }
    for (const wire::ReleaseNotice &notice : message->releases)
        this->listener.onReleasedByPeer(notice.engine, toTokens(notice.tokens));
    for (const wire::PauseNotice &notice : message->pauses)
        this->listener.onPausesFromPeer(notice.engine, notice.pausedTooLong);
    for (const std::string &engine : message->failedEngines)
        this->listener.onFailedForPeer(engine, origin);
    for (const wire::LoadNotice &notice : message->loads) {
        EngineLoad load;
        load.waiting = std::max(0, notice.waiting);
        load.running = std::max(0, notice.running);
        load.memoryInUse = toTokens(notice.memoryInUse);
        load.memoryTokens = toTokens(notice.memoryTokens);
        load.leaving = notice.leaving;
        load.firstWaitingTokens = toTokens(notice.firstWaitingTokens);
        load.eventInterval = toTime(notice.eventIntervalMicros, maxEventInterval);
        this->listener.onLoadFromPeer(notice.engine, load);
    }
    for (const std::string &target : message->leavingTargets)
        this->listener.onLeavingFromPeer(target);
    for (const wire::ColdNotice &notice : message->coldTargets)
        this->listener.onColdFromPeer(notice.target, toTime(notice.leftMicros, maxColdTime));
    const QuarantineMessage quarantine = fromNotices(message->quarantine);
    if (!quarantine.isEmpty())
        this->listener.onQuarantineNews(quarantine);
    for (const LimitKind kind : {LimitKind::Named, LimitKind::Imposed}) {
        const LimitMessage limits = fromNotices(limitsOf(*message, kind));
        if (!limits.isEmpty())
            this->listener.onLimitNews(origin, kind, limits);
    }
    const LimitMessage retryPermits = fromNotices(message->retryPermits);
    if (!retryPermits.isEmpty())
        this->listener.onRetryPermits(from, retryPermits);
    if (message->__isset.streamVersions)
        this->listener.onStreamVersions(from, fromNotices(message->streamVersions));
    this->onStores(*message);
    for (const wire::FreshnessAsk &ask : message->asks)
        this->listener.onFreshnessQuery(from, ask.askedAt);
    for (const wire::FreshnessAnswer &answer : message->answers) {
        if (isPlausible(answer))
            this->listener.onFreshnessAnswer(from, answer.askedAt, fromNotice(answer));
    }
}

void PeerLink::depart()
{
    this->sendReleases();
    this->membership.depart();
}

} // namespace jaytrack
