// Gets a snapshot of the store from another instance.
#ifndef JAYTRACK_STORE_SNAPSHOTFETCH_H
#define JAYTRACK_STORE_SNAPSHOTFETCH_H

#include "jaytrack/Net/targetcall.h"
#include "jaytrack/Store/storesnapshot.h"
#include "jaytrack/Support/keyring.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jaytrack {

// Keeps itself alive until it is done.
class SnapshotFetch final : public TargetCallListener,
                            public std::enable_shared_from_this<SnapshotFetch>
{
public:
    // Called with nothing if the other instance does not give a valid snapshot.
    using Done = std::function<void(const std::optional<StoreSnapshot> &snapshot)>;

    static void start(asio::io_context &loop, const asio::ip::tcp::endpoint &instance,
                      const KeyRing &fleetKeys, std::uint64_t nonce, Done whenDone);

    SnapshotFetch(asio::io_context &loop, const KeyRing &fleetKeys, std::uint64_t drawnNonce,
                  Done whenDone);

    void onAnswerHead(MessageHead received) override { this->head = std::move(received); }
    void onAnswerBody(std::string_view bytes) override;
    void onCallEnd(const TargetCallEnd &end) override;

private:
    void run(asio::io_context &loop, const asio::ip::tcp::endpoint &instance);
    void awaitProgress();
    void conclude(const std::optional<StoreSnapshot> &snapshot);

    const KeyRing &keys;
    std::string nonce;
    Done done;
    asio::steady_timer timer;
    std::shared_ptr<TargetCall> call;
    MessageHead head;
    std::string body;
};

} // namespace jaytrack

#endif
