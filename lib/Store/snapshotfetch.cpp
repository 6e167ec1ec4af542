#include "jaytrack/Store/snapshotfetch.h"

#include "jaytrack/Store/snapshotmessage.h"

#include <utility>

namespace jaytrack {

namespace {

constexpr int okStatus = 200;

// Time to connect, and longest pause in the answer, before another instance is asked.
constexpr std::chrono::milliseconds connectTimeout{300};
constexpr std::chrono::milliseconds progressTimeout{1000};

// More than any snapshot that can be unpacked.
constexpr std::size_t maxBodyBytes = 16U << 20U;

} // namespace

SnapshotFetch::SnapshotFetch(asio::io_context &loop, const KeyRing &fleetKeys,
                             std::uint64_t drawnNonce, Done whenDone)
    : keys(fleetKeys)
    , nonce(std::to_string(drawnNonce))
    , done(std::move(whenDone))
    , timer(loop)
{
}

void SnapshotFetch::start(asio::io_context &loop, const asio::ip::tcp::endpoint &instance,
                          const KeyRing &fleetKeys, std::uint64_t nonce, Done whenDone)
{
    std::make_shared<SnapshotFetch>(loop, fleetKeys, nonce, std::move(whenDone))
            ->run(loop, instance);
}

void SnapshotFetch::run(asio::io_context &loop, const asio::ip::tcp::endpoint &instance)
{
    TargetRequest request;
    request.endpoint = instance;
    request.target = snapshotPath;
    request.headers = encodeSnapshotRequest(this->nonce, this->keys);
    request.headers.push_back({"Host", instance.address().to_string()});
    request.connectTimeout = connectTimeout;
    this->call = TargetCall::start(loop, std::move(request), this->weak_from_this());
    this->awaitProgress();
}

void SnapshotFetch::awaitProgress()
{
    this->timer.expires_after(progressTimeout);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &failure) {
        if (!failure)
            self->conclude(std::nullopt);
    });
}

void SnapshotFetch::onAnswerBody(std::string_view bytes)
{
    if (!appendWithin(this->body, bytes, maxBodyBytes))
        return this->conclude(std::nullopt);
    this->awaitProgress();
}

void SnapshotFetch::onCallEnd(const TargetCallEnd &end)
{
    const bool answered = end.whole && this->head.status == okStatus;
    const auto age = answered
                             ? decodeSnapshotAnswer(this->head, this->nonce, this->body, this->keys)
                             : std::nullopt;
    std::optional<StoreSnapshot> snapshot = age ? unpackSnapshot(this->body) : std::nullopt;
    if (snapshot)
        snapshot->age = *age;
    this->conclude(snapshot);
}

void SnapshotFetch::conclude(const std::optional<StoreSnapshot> &snapshot)
{
    if (!this->done)
        return;
    this->timer.cancel();
    this->call->cancel();
    std::exchange(this->done, nullptr)(snapshot);
}

} // namespace jaytrack
