// Messages between instances about targets that advertise rate limits, and their conversion to and
// from the wire format.
#ifndef JAYTRACK_LIMITS_LIMITMESSAGE_H
#define JAYTRACK_LIMITS_LIMITMESSAGE_H

#include "jaytrack/Limits/advertisedlimits.h"

#include <cstdint>
#include <vector>

namespace jaytrack {

namespace wire {
class LimitNotices;
} // namespace wire

// Limits that targets name, and limits that instances impose on brittle targets, are accounted for
// separately.
enum class LimitKind { Named, Imposed };

// Requests a permit for one request to a target from the instance that owns the target's limit.
struct PermitRequest
{
    std::int64_t serial = 0;       // assigned by the requester
    AdvertisedLimits::State state; // the requester's record of the target
    bool counted = false;          // the request is sent without a permit and needs no answer
};

struct PermitAnswer
{
    std::int64_t serial = 0;
    bool granted = false;
    Duration wait{0};              // as in Permit
    bool isOwnerReady = true;      // false while the sender is settling and grants no permits
    AdvertisedLimits::State state; // the sender's record of the target
};

struct LimitMessage
{
    std::vector<AdvertisedLimits::State> states;
    std::vector<PermitRequest> requests;
    std::vector<PermitAnswer> answers;

    bool isEmpty() const
    {
        return this->states.empty() && this->requests.empty() && this->answers.empty();
    }
};

wire::LimitNotices toNotices(const LimitMessage &message);

// Clamps numbers and times that are outside the valid range.
LimitMessage fromNotices(const wire::LimitNotices &notices);

} // namespace jaytrack

#endif
