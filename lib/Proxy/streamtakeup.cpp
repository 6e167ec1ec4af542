// Finds the version at which a stream began that its caller takes up after an earlier attempt.
#include "streamexchange.h"

#include "jaytrack/Support/metrics.h"

namespace jaytrack {

// The stream is named after the attempt that brought its first event.
std::string StreamExchange::ownStreamName() const
{
    const std::string &first = this->facts().resumedAttempt.empty() ? this->facts().attemptId
                                                                    : this->facts().resumedAttempt;
    if (first.empty())
        return {};
    const KeyHolder *holder = this->admitted.admission.holder;
    const std::string_view customer = holder != nullptr ? std::string_view(holder->customer) : "";
    return jaytrack::streamName(customer, this->serviceName, first);
}

// Whether the caller has events of the stream from an earlier attempt.
bool StreamExchange::takesUpStream() const
{
    return this->facts().lastEventId.value_or(0) > 0 || !this->facts().resumedAttempt.empty();
}

// Looks up the version of a stream that the caller takes up. A wrong version would mix incompatible
// events, so a stream without a record is refused while the service has several versions, or while
// no instance that answers knows whether it has.
void StreamExchange::findVersion()
{
    if (this->versionRequested)
        return;
    this->versionRequested = true;
    if (!this->takesUpStream()) {
        this->versionSettled = true;
        return this->attempt();
    }
    const bool isNamed = !this->facts().resumedAttempt.empty();
    if (!isNamed && this->context.streamVersions.mustKnow(this->serviceName))
        return this->onVersionFound(std::nullopt);
    this->context.streamVersions.find(
            this->streamName, this->serviceName,
            [weak = this->weak_from_this(), this](const std::optional<std::string> &version) {
                const auto alive = weak.lock();
                if (alive && !this->isFinished())
                    this->onVersionFound(version);
            });
}

void StreamExchange::onVersionFound(const std::optional<std::string> &version)
{
    this->versionSettled = true;
    const Duration took = this->context.clock.now() - this->request().arrived;
    this->logDecision("stream_taken_up",
                      {{"resumes", this->facts().resumedAttempt},
                       {"after_event", static_cast<std::int64_t>(this->lastEvent)},
                       {"known", version ? 1 : 0},
                       {"version", version.value_or("")},
                       {"search_ms", toMillis(took)}});
    this->context.metrics.count("jaytrack_streams_taken_up_total{known=\"" +
                                std::string(version ? "yes" : "no") + "\"}");
    if (!version && this->context.streamVersions.mustKnow(this->serviceName))
        return this->answerWithResult(ResultCode::VersionUnknown, "no_record");
    this->streamVersion = version;
    this->attempt();
}

std::string_view StreamExchange::missingEngineReason() const
{
    return this->streamVersion ? "no_engine_of_version" : this->noTargetReason();
}

} // namespace jaytrack
