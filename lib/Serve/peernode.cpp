#include "jaytrack/Serve/peernode.h"

#include "jaytrack/Config/documentstore.h"
#include "jaytrack/Config/settings.h"
#include "jaytrack/Http/client.h"
#include "jaytrack/Stream/handle.h"
#include "jaytrack/Support/digest.h"
#include "jaytrack/Support/keyring.h"
#include "jaytrack/Support/log.h"

#include <algorithm>
#include <cassert>
#include <random>

namespace jaytrack {

namespace {

constexpr std::string_view documentPath = "/peer/document";
constexpr std::string_view nonceHeader = "Peer-Nonce";
constexpr std::string_view macHeader = "Peer-Mac";
constexpr std::string_view revisionHeader = "Config-Revision";
constexpr std::string_view requestPurpose = "document-ask";
constexpr std::string_view responsePurpose = "document-answer";
constexpr std::chrono::seconds documentTimeout{2};

// Parses an address "ip:port". Returns nullopt if it is not an IP address with a port.
std::optional<asio::ip::udp::endpoint> toEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    asio::error_code ec;
    const auto ip = asio::ip::make_address(std::string(address.substr(0, colon)), ec);
    const auto port = parseIndex(address.substr(colon + 1));
    static constexpr std::uint64_t highestPort = 65535;
    if (ec || !port || *port > highestPort)
        return std::nullopt;
    return asio::ip::udp::endpoint(ip, static_cast<std::uint16_t>(*port));
}

std::string toText(const asio::ip::udp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string newNonce()
{
    std::random_device device;
    return std::to_string(device()) + std::to_string(device()) + std::to_string(device());
}

// Returns the text that the response's MAC covers. It includes the nonce of the request, so that a
// recorded response cannot be replayed.
std::string authenticatedText(std::string_view nonce, std::uint64_t revision, std::string_view body)
{
    return std::string(nonce) + "\n" + std::to_string(revision) + "\n" + std::string(body);
}

} // namespace

PeerNode::PeerNode(asio::io_context &controlContext, const Settings &instanceSettings,
                   const Clock &time, const KeyRing &fleetKeys, DocumentStore &store,
                   HttpClient &httpClient, std::int64_t incarnation, PeerNodeEvents handlers)
    : control(controlContext)
    , settings(instanceSettings)
    , clock(time)
    , keys(fleetKeys)
    , documents(store)
    , client(httpClient)
    , events(std::move(handlers))
    , ownIncarnation(incarnation)
    , socket(controlContext)
{
}

PeerNode::~PeerNode()
{
    *this->alive = false;
    if (this->server)
        this->server->stop();
}

// Documents over TCP and datagrams over UDP use the same port number. If the system picks the port,
// it picks one that is free for TCP, but another process may use the number for UDP. The instance
// would then fail to start, so another port is tried.
Result<void> PeerNode::bindPorts()
{
    constexpr int maxBindAttempts = 16;
    HttpServerOptions serverOptions;
    serverOptions.address = this->settings.peers.address;
    serverOptions.port = this->settings.peers.port;
    serverOptions.threads = 1;
    asio::error_code ec;
    const auto ip = asio::ip::make_address(this->settings.peers.address, ec);
    for (int tries = 0; !ec && tries < maxBindAttempts; ++tries) {
        auto started = startHttpServer(serverOptions, *this);
        if (!started)
            return started.error();
        this->server = std::move(started.value());
        this->boundPort = this->server->port();
        const asio::ip::udp::endpoint endpoint(ip, this->boundPort);
        if (!this->socket.is_open())
            this->socket.open(endpoint.protocol(), ec);
        if (!ec)
            this->socket.bind(endpoint, ec);
        if (!ec)
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        if (ec != asio::error::address_in_use || this->settings.peers.port != 0)
            break;
        this->server->stop();
        ec.clear();
    }
    return Error{ResultCode::SettingsContradiction, "cannot bind the peer port: " + ec.message()};
}

Result<void> PeerNode::open(const std::string &callerAddress)
{
    const Result<void> bound = this->bindPorts();
    if (!bound)
        return bound.error();

    Member self;
    self.name = this->settings.name;
    self.dataCentre = this->settings.dataCentre;
    self.peerAddress = this->settings.peers.address + ":" + std::to_string(this->boundPort);
    self.callerAddress = callerAddress;
    self.incarnation = this->ownIncarnation;
    self.state = MemberState::Joining;
    std::random_device device;
    PeerTransport &transport = *this;
    MembershipListener &listener = *this;
    this->membership = std::make_unique<Membership>(self, this->clock, device(), this->keys,
                                                    transport, listener);
    ConfigPropagationOptions options;
    options.readyDelay = this->settings.readyDelay;
    DocumentSink &sink = *this;
    DocumentFetcher &fetcher = *this;
    this->spread =
            std::make_unique<ConfigPropagation>(this->clock, device(), sink, fetcher, options);
    this->membership->suggest(this->settings.peerSeeds);
    this->receiveNext();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PeerNode::receiveNext()
{
    this->socket.async_receive_from(
            asio::buffer(this->buffer), this->sender,
            [this, aliveFlag = this->alive](const asio::error_code &ec, std::size_t bytes) {
                if (!*aliveFlag || ec == asio::error::operation_aborted)
                    return;
                if (!ec)
                    this->onDatagram(bytes);
                this->receiveNext();
            });
}

void PeerNode::onDatagram(std::size_t bytes)
{
    {
        const std::lock_guard lock(this->mutex);
        this->membership->receive(toText(this->sender), {this->buffer.data(), bytes});
    }
    this->dispatchEvents();
}

// Runs the callbacks for events that were collected under the lock. They run without the lock
// because they take locks of their own.
void PeerNode::dispatchEvents()
{
    std::vector<std::pair<std::string, std::string>> messages;
    std::vector<std::string> fetches;
    std::vector<std::string> names;
    std::optional<TimePoint> refreshed;
    bool dirty = false;
    {
        const std::lock_guard lock(this->mutex);
        messages.swap(this->policyMessages);
        fetches.swap(this->pendingFetches);
        refreshed = std::exchange(this->refreshedAt, std::nullopt);
        dirty = std::exchange(this->membersDirty, false);
        if (dirty) {
            for (const Member &member : this->membership->members()) {
                if (member.acceptsWork())
                    names.push_back(member.name);
            }
        }
    }
    if (dirty)
        this->events.membersChanged(std::move(names));
    for (auto &[from, message] : messages)
        this->events.policyMessage(std::move(from), std::move(message));
    for (const std::string &address : fetches)
        this->requestDocument(address);
    if (refreshed)
        this->events.refreshed(*refreshed);
}

void PeerNode::tick()
{
    {
        const std::lock_guard lock(this->mutex);
        this->spread->tick();
        this->membership->setConfig(this->documents.revision(), this->spread->age());
        this->membership->tick();
    }
    this->dispatchEvents();
}

void PeerNode::suggest(const std::vector<std::string> &addresses)
{
    std::vector<std::string> all = this->settings.peerSeeds;
    all.insert(all.end(), addresses.begin(), addresses.end());
    const std::lock_guard lock(this->mutex);
    this->membership->suggest(all);
}

void PeerNode::onServiceRevision(std::uint64_t revision, TimePoint requestedAt)
{
    const std::lock_guard lock(this->mutex);
    this->spread->onService(revision, requestedAt);
}

void PeerNode::onDocument(std::uint64_t revision)
{
    const std::lock_guard lock(this->mutex);
    this->membership->setConfig(revision, this->spread->age());
    this->membership->spreadRumour();
}

void PeerNode::goLive()
{
    const std::lock_guard lock(this->mutex);
    this->membership->goLive();
    this->membersDirty = true;
}

void PeerNode::leave()
{
    const std::lock_guard lock(this->mutex);
    this->membership->leave();
    this->membersDirty = true;
}

void PeerNode::depart()
{
    const std::lock_guard lock(this->mutex);
    this->membership->depart();
}

void PeerNode::sendPolicy(const std::string &to, std::string message)
{
    const std::lock_guard lock(this->mutex);
    this->membership->sendPolicy(to, std::move(message));
}

bool PeerNode::mayServe()
{
    const std::lock_guard lock(this->mutex);
    return this->spread->mayServe();
}

bool PeerNode::configMayBeStale()
{
    const std::lock_guard lock(this->mutex);
    return this->spread->mayBeStale();
}

Duration PeerNode::configAge()
{
    const std::lock_guard lock(this->mutex);
    return this->spread->age();
}

std::optional<PeerAddress> PeerNode::find(std::string_view name, std::int64_t incarnation)
{
    const std::lock_guard lock(this->mutex);
    const Member *member = this->membership->find(name);
    if (member == nullptr || member->incarnation != incarnation)
        return std::nullopt;
    return PeerAddress{member->callerAddress, member->isUp()};
}

std::vector<PeerRow> PeerNode::rows()
{
    const std::lock_guard lock(this->mutex);
    std::vector<PeerRow> rows;
    for (const Member &member : this->membership->members())
        rows.push_back({member, member.name == this->settings.name});
    return rows;
}

MembershipCounts PeerNode::counts()
{
    const std::lock_guard lock(this->mutex);
    return this->membership->counts();
}

// ---- Called by Membership and ConfigPropagation with the lock held ----

void PeerNode::send(std::string_view address, std::string datagram)
{
    const auto endpoint = toEndpoint(address);
    if (!endpoint)
        return;
    // A send error has the same effect as a lost datagram, which the protocol tolerates.
    asio::error_code ignored;
    this->socket.send_to(asio::buffer(datagram), *endpoint, 0, ignored);
}

void PeerNode::onPeerRevision(const Member &peer, std::uint64_t revision, Duration age,
                              TimePoint requestedAt)
{
    const bool hasRequestTime = requestedAt != TimePoint{};
    this->spread->onPeer(peer.peerAddress, revision, age,
                         hasRequestTime ? std::optional<TimePoint>(requestedAt) : std::nullopt);
    if (hasRequestTime && revision <= this->documents.revision())
        this->refreshedAt = std::max(this->refreshedAt.value_or(TimePoint{}), requestedAt);
}

void PeerNode::onPolicyMessage(std::string_view from, std::string_view message)
{
    this->policyMessages.emplace_back(from, message);
}

// If the store accepts the document, its watcher calls onDocument() on the control thread.
void PeerNode::offer(std::string_view bytes, std::uint64_t revision, std::string_view source)
{
    this->documents.offer(bytes, revision, source);
}

std::uint64_t PeerNode::revision() const
{
    return this->documents.revision();
}

void PeerNode::fetchDocument(const std::string &peerAddress)
{
    this->pendingFetches.push_back(peerAddress);
}

void PeerNode::requestDocument(const std::string &address)
{
    const std::string nonce = newNonce();
    HttpCall call;
    call.url = "http://" + address + std::string(documentPath);
    call.headers = {
            {std::string(nonceHeader), nonce},
            {std::string(macHeader), encodeBase64Url(this->keys.sign(requestPurpose, nonce))}};
    call.totalTimeout = documentTimeout;
    call.mayRepeat = true;
    fetchLater(this->client, std::move(call), 2 * maxDocumentBytes,
               [this, aliveFlag = this->alive, address, nonce](FetchedAnswer answer) {
                   asio::post(this->control, [this, aliveFlag, address, nonce,
                                              answer = std::move(answer)]() mutable {
                       if (!*aliveFlag)
                           return;
                       const auto revision = parseIndex(findHeader(answer.headers, revisionHeader));
                       const auto mac = decodeBase64Url(findHeader(answer.headers, macHeader));
                       std::optional<std::string> bytes;
                       const bool authenticated =
                               answer.end.whole && answer.end.status == 200 && revision && mac &&
                               this->keys.verify(responsePurpose,
                                                 authenticatedText(nonce, *revision, answer.body),
                                                 *mac);
                       if (authenticated)
                           bytes = std::move(answer.body);
                       {
                           const std::lock_guard lock(this->mutex);
                           this->spread->onFetched(address, revision.value_or(0), bytes);
                       }
                       this->dispatchEvents();
                   });
               });
}

// Serves the active document to peers that authenticate with a key of the fleet.
void PeerNode::handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer)
{
    static constexpr int forbidden = 403;
    static constexpr int notFound = 404;
    const std::string nonce(request.header(nonceHeader));
    const auto mac = decodeBase64Url(request.header(macHeader));
    if (!mac || !this->keys.verify(requestPurpose, nonce, *mac)) {
        writer->respond(forbidden, {}, "");
        return;
    }
    const auto [revision, bytes] = this->documents.bytes();
    if (request.path != documentPath || revision == 0) {
        writer->respond(notFound, {}, "");
        return;
    }
    const std::string proof =
            this->keys.sign(responsePurpose, authenticatedText(nonce, revision, bytes));
    const std::vector<HttpHeader> headers = {
            {std::string(revisionHeader), std::to_string(revision)},
            {std::string(macHeader), encodeBase64Url(proof)},
            {"Content-Type", "application/json"}};
    writer->respond(200, headers, bytes);
}

} // namespace jaytrack
