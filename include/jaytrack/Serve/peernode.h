// This instance among its peers: membership over UDP, documents over HTTP on the same port number,
// and the messages of placement in between.
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

// What the rest of the instance does when peers say something. Called on the control thread,
// outside the node's lock.
struct PeerNodeEvents
{
    std::function<void(std::vector<std::string> liveNames)> membersChanged;
    std::function<void(std::string from, std::string message)> policyMessage;
    std::function<void(TimePoint askedAt)> refreshed;
};

// One row of the operators' view of the fleet.
struct PeerRow
{
    Member member;
    bool self = false;
};

// Its steps run on the control thread; find(), rows() and counts() may be called from any.
class PeerNode final : public PeerDirectory,
                       private PeerTransport,
                       private MembershipListener,
                       private DocumentSink,
                       private DocumentFetcher,
                       private HttpHandler
{
public:
    PeerNode(asio::io_context &controlContext, const Settings &chosen, const Clock &time,
             const KeyRing &fleetKeys, DocumentStore &store, HttpClient &httpClient,
             std::int64_t incarnation, PeerNodeEvents handlers);
    ~PeerNode() override;
    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    // Opens both sockets. The callers' address is told to peers.
    Result<void> open(const std::string &callerAddress);

    void tick();
    void suggest(const std::vector<std::string> &addresses);
    void onServiceRevision(std::uint64_t revision, TimePoint askedAt);

    // A newer document has come into force here.
    void onDocument(std::uint64_t revision);

    void goLive();
    void leave();
    void depart();
    void sendPolicy(const std::string &to, std::string message);

    bool mayServe();
    bool cautious();
    Duration configAge();
    std::uint16_t port() const { return this->boundPort; }

    std::optional<PeerAddress> find(std::string_view name, std::int64_t incarnation) override;
    std::vector<PeerRow> rows();
    MembershipCounts counts();

private:
    Result<void> bindPorts();
    void receiveNext();
    void onDatagram(std::size_t bytes);
    void afterStep();
    void askForDocument(const std::string &address);

    void send(std::string_view address, std::string datagram) override;
    void onMembersChanged() override { this->membersDirty = true; }
    void onPeerRevision(const Member &peer, std::uint64_t revision, Duration age,
                        TimePoint askedAt) override;
    void onPolicyMessage(std::string_view from, std::string_view message) override;
    void offer(std::string_view bytes, std::uint64_t revision, std::string_view source) override;
    std::uint64_t revision() const override;
    void fetchDocument(const std::string &peerAddress) override;
    void handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

    static constexpr std::size_t datagramBound = 65536;

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
    std::vector<std::string> toFetch;
    std::optional<TimePoint> refreshedAt;
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, datagramBound> buffer{};
    std::uint16_t boundPort = 0;
    std::unique_ptr<HttpServer> server;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); // answers may come after the end
};

} // namespace jaytrack

#endif
