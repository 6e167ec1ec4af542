// Communication of an instance with its peers: membership and policy messages over UDP, and
// configuration documents over HTTP on the same port number.
#ifndef JAYTRACK_SERVE_PEERNODE_H
#define JAYTRACK_SERVE_PEERNODE_H

#include "jaytrack/Cluster/configpropagation.h"
#include "jaytrack/Cluster/membership.h"
#include "jaytrack/Http/server.h"
#include "jaytrack/Serve/context.h"
#include "jaytrack/Support/result.h"

#include <asio.hpp>

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jaytrack {

class DocumentStore;

// Callbacks for updates from peers. Called on the control thread without holding the node's lock.
struct PeerNodeEvents
{
    std::function<void(std::vector<std::string> liveNames)> membersChanged;
    std::function<void(std::string from, std::string message)> policyMessage;
    std::function<void(TimePoint requestedAt)> refreshed;
};

// A member of the fleet as the operators' status page shows it.
struct PeerRow
{
    Member member;
    bool self = false;
};

// Runs on the control thread, except for find(), rows() and counts(), which any thread may call.
class PeerNode final : public PeerDirectory,
                       private PeerTransport,
                       private MembershipListener,
                       private DocumentSink,
                       private DocumentFetcher,
                       private HttpHandler
{
public:
    PeerNode(asio::io_context &controlContext, const Settings &instanceSettings, const Clock &time,
             const KeyRing &fleetKeys, DocumentStore &store, HttpClient &httpClient,
             std::int64_t incarnation, PeerNodeEvents handlers);
    ~PeerNode() override;
    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    // Opens both sockets. The callers' address is announced to peers.
    Result<void> open(const std::string &callerAddress);

    void tick();
    void suggest(const std::vector<std::string> &addresses);
    void onServiceRevision(std::uint64_t revision, TimePoint requestedAt);

    // Announces to peers that this instance now uses a newer document.
    void onDocument(std::uint64_t revision);

    void goLive();
    void leave();
    void depart();
    void sendPolicy(const std::string &to, std::string message);

    bool mayServe();
    bool configMayBeStale();
    Duration configAge();
    std::uint16_t port() const { return this->boundPort; }

    std::optional<PeerAddress> find(std::string_view name, std::int64_t incarnation) override;
    std::vector<PeerRow> rows();
    MembershipCounts counts();

private:
    Result<void> bindPorts();
    void receiveNext();
    void onDatagram(std::size_t bytes);
    void dispatchEvents();
    void requestDocument(const std::string &address);

    void send(std::string_view address, std::string datagram) override;
    void onMembersChanged() override { this->membersDirty = true; }
    void onPeerRevision(const Member &peer, std::uint64_t revision, Duration age,
                        TimePoint requestedAt) override;
    void onPolicyMessage(std::string_view from, std::string_view message) override;
    void offer(std::string_view bytes, std::uint64_t revision, std::string_view source) override;
    std::uint64_t revision() const override;
    void fetchDocument(const std::string &peerAddress) override;
    void handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

    static constexpr std::size_t maxDatagramBytes = 65536;

    asio::io_context &control;
    const Settings &settings;
    const Clock &clock;
    const KeyRing &keys;
    DocumentStore &documents;
    HttpClient &client;
    PeerNodeEvents events;
    std::int64_t ownIncarnation;
    std::mutex mutex; // guards membership and spread
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ConfigPropagation> spread;
    bool membersDirty = true;
    std::vector<std::pair<std::string, std::string>> policyMessages;
    std::vector<std::string> pendingFetches;
    std::optional<TimePoint> refreshedAt;
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, maxDatagramBytes> buffer{};
    std::uint16_t boundPort = 0;
    std::unique_ptr<HttpServer> server;
    std::shared_ptr<bool> alive =
            std::make_shared<bool>(true); // responses may arrive after destruction
};

} // namespace jaytrack

#endif
