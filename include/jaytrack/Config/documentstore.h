// Holds the document in force on one instance. Revisions only ever go up.
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

// How an offered document was taken.
enum class OfferVerdict {
    Accepted, // newer than before, now in force
    Same,     // the revision in force
    Stale,    // older; refused, whoever brought it
    Faulty    // malformed; the one in force stays
};

// The document in force. Functions may be called from any thread.
class DocumentStore
{
public:
    using Watcher = std::function<void(const std::shared_ptr<const Document> &)>;

    // Offers a document. Only a strictly newer, well-formed one comes into force: a stale replica
    // of the service, a peer that was paused or an instance that has just started may all bring an
    // older one, and none of them can take back what was accepted.
    OfferVerdict offer(std::string_view bytes, std::uint64_t revision, std::string_view source);

    // The document in force; null before the first.
    std::shared_ptr<const Document> current() const { return this->inForce.get(); }

    std::uint64_t revision() const;

    // The bytes in force with their revision, to hand on to a peer.
    std::pair<std::uint64_t, std::string> bytes() const;

    // Called after each change, from the thread that offered it. Set before the first offer.
    void watch(Watcher watcher);

private:
    // What a document of this revision would be, well-formedness aside.
    OfferVerdict judge(std::uint64_t revision) const;

    std::mutex offers;        // one comes into force at a time
    mutable std::mutex mutex; // guards the fields below
    Snapshot<Document> inForce;
    std::string currentBytes;
    std::uint64_t currentRevision = 0;
    Watcher onChange;
};

} // namespace jaytrack

#endif
