#include "jaytrack/Config/documentstore.h"

#include "jaytrack/Support/log.h"

#include <utility>

namespace jaytrack {

OfferVerdict DocumentStore::offer(std::string_view bytes, std::uint64_t revision,
                                  std::string_view source)
{
    const OfferVerdict early = this->classifyRevision(revision);
    if (early != OfferVerdict::Accepted)
        return early;
    const auto parsed = Document::parse(bytes, revision);
    if (!parsed) {
        this->logRefusal(parsed.error(), revision, source);
        return OfferVerdict::Faulty;
    }
    {
        const std::lock_guard offering(this->offers);
        // Two sources may offer documents concurrently, and the later offer may be the older
        // document.
        const OfferVerdict late = this->classifyRevision(revision);
        if (late != OfferVerdict::Accepted)
            return late;
        const std::lock_guard lock(this->mutex);
        this->currentRevision = revision;
        this->currentBytes = bytes;
        this->currentDocument.set(parsed.value());
    }
    logEvent(Severity::Info, "document_in_force",
             {{"source", source}, {"revision", static_cast<std::int64_t>(revision)}});
    if (this->onChange)
        this->onChange(parsed.value());
    return OfferVerdict::Accepted;
}

// A faulty document is offered again for as long as its source has no other.
void DocumentStore::logRefusal(const Error &error, std::uint64_t revision, std::string_view source)
{
    {
        const std::lock_guard lock(this->mutex);
        std::string refusal = std::to_string(revision) + " " + error.detail;
        if (std::exchange(this->lastRefusal, refusal) == refusal)
            return;
    }
    logEvent(Severity::Warning, "document_refused",
             {{"source", source},
              {"revision", static_cast<std::int64_t>(revision)},
              {"code", static_cast<std::int64_t>(error.code)},
              {"detail", error.detail}});
}

OfferVerdict DocumentStore::classifyRevision(std::uint64_t revision) const
{
    const std::uint64_t held = this->revision();
    if (revision > held)
        return OfferVerdict::Accepted;
    return revision == held ? OfferVerdict::Same : OfferVerdict::Stale;
}

std::uint64_t DocumentStore::revision() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentRevision;
}

std::pair<std::uint64_t, std::string> DocumentStore::bytes() const
{
    const std::lock_guard lock(this->mutex);
    return {this->currentRevision, this->currentBytes};
}

void DocumentStore::watch(Watcher watcher)
{
    this->onChange = std::move(watcher);
}

} // namespace jaytrack
