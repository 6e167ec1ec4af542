// Cuts notices that are too large for one datagram into fragments, and joins them again.
//
// A configuration of a large fleet has hundreds of customers with random keys and does not fit into
// a datagram even if it is compressed. If it were not passed on, each of 584 instances would read
// it from the store, 584 calls for every change.
#ifndef JAYTRACK_PEERS_NOTICEFRAGMENTS_H
#define JAYTRACK_PEERS_NOTICEFRAGMENTS_H

#include "jaytrack/Support/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jaytrack {

namespace wire {
class FragmentNotice;
} // namespace wire

struct NoticeFragment
{
    std::int64_t batch = 0; // distinguishes what one instance sends
    std::int32_t index = 0;
    std::int32_t count = 1;
    std::int64_t plainSize = 0; // bytes of the whole before compression
    std::string bytes;
};

// Compresses the bytes and cuts them into fragments of at most maxBytes each. Returns nothing if
// they cannot be compressed.
std::vector<NoticeFragment> fragmentsOf(std::string_view bytes, std::int64_t batch,
                                        std::size_t maxBytes);

wire::FragmentNotice toNotice(const NoticeFragment &fragment);
NoticeFragment fromNotice(const wire::FragmentNotice &notice);

struct FragmentJoinerOptions
{
    // Fragments of a batch arrive within tenths of a second of each other.
    Duration retention = std::chrono::seconds(2);

    // Limits on what other instances can make this one keep.
    std::size_t maxKeptBytes = 1U << 20U;
    std::int32_t maxFragments = 256;
    std::size_t maxPlainBytes = 4U << 20U;
};

// Joins the fragments that arrive from other instances, in any order. Batches of which a fragment
// is missing are dropped after a while.
class FragmentJoiner
{
public:
    explicit FragmentJoiner(const Clock &time, FragmentJoinerOptions joinerOptions = {})
        : clock(time)
        , options(joinerOptions)
    {
    }

    // Adds a fragment of the origin. Returns the whole bytes if it was the last one missing.
    std::optional<std::string> add(std::string_view origin, NoticeFragment fragment);

    std::size_t keptBytes() const { return this->kept; }

private:
    struct Batch
    {
        std::vector<std::optional<std::string>> parts;
        std::size_t missing = 0;
        std::size_t bytes = 0;
        std::int64_t plainSize = 0;
        TimePoint startedAt;
    };
    using Batches = std::map<std::pair<std::string, std::int64_t>, Batch>; // by origin and batch

    bool isAcceptable(const NoticeFragment &fragment) const;
    void dropOld();
    std::optional<std::string> join(Batches::iterator complete);

    const Clock &clock;
    FragmentJoinerOptions options;
    Batches batches;
    std::size_t kept = 0;
};

} // namespace jaytrack

#endif
