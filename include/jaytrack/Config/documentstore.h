// Holds the current configuration document of one instance. Its revision never decreases.
#ifndef JAYTRACK_CONFIG_DOCUMENTSTORE_H
#define JAYTRACK_CONFIG_DOCUMENTSTORE_H

#include "jaytrack/Config/document.h"
#include "jaytrack/Support/clock.h"
#include "jaytrack/Support/snapshot.h"

#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace jaytrack {

// The result of offering a document.
enum class OfferVerdict {
    Accepted, // newer than the previous document, now current
    Same,     // the current revision
    Stale,    // older than the current one; rejected whatever its source
    Faulty    // malformed; the current document is kept
};

// Stores the current document. Functions may be called from any thread.
class DocumentStore
{
public:
    using Watcher = std::function<void(const std::shared_ptr<const Document> &)>;

    // Offers a document. It takes effect only if it is well-formed and strictly newer than the
    // current one: a stale replica of the service, a peer that was paused or an instance that has
    // just started may offer an older one, which must not revert an accepted document.
    OfferVerdict offer(std::string_view bytes, std::uint64_t revision, std::string_view source);

    // Returns the current document; null before the first one is accepted.
    std::shared_ptr<const Document> current() const { return this->currentDocument.get(); }

    std::uint64_t revision() const;

    // Returns the bytes and the revision of the current document, for sending to a peer.
    std::pair<std::uint64_t, std::string> bytes() const;

    // Sets a function that is called after each change, from the thread that offered the document.
    // Call this before the first offer.
    void watch(Watcher watcher);

private:
    // Returns the verdict for a document of this revision, assuming that it is well-formed.
    OfferVerdict classifyRevision(std::uint64_t revision) const;

    // Logs why a document is refused, unless the same refusal was the last one.
    void logRefusal(const Error &error, std::uint64_t revision, std::string_view source);

    std::mutex offers;        // serialises changes of the current document
    mutable std::mutex mutex; // guards the fields below
    Snapshot<Document> currentDocument;
    std::string currentBytes;
    std::uint64_t currentRevision = 0;
    std::string lastRefusal; // revision and detail
    Watcher onChange;
};

} // namespace jaytrack

#endif
