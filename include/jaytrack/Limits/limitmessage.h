// What instances tell each other of targets that name limits, and its form on the wire.
#ifndef JAYTRACK_LIMITS_LIMITMESSAGE_H
#define JAYTRACK_LIMITS_LIMITMESSAGE_H

#include "jaytrack/Limits/advertisedlimits.h"

#include <cstdint>
#include <vector>

namespace jaytrack {

namespace wire {
class LimitNotices;
} // namespace wire

// Asks whoever keeps a target's account whether one request may go there.
struct PermitAsk
{
    std::int64_t serial = 0; // of the asker
    NamedLimits::Word word;  // what the asker knows of the target
    bool counted = false;    // the request goes there anyhow, and no answer is wanted
};

struct PermitAnswer
{
    std::int64_t serial = 0;
    bool granted = false;
    Duration wait{0};       // after which the asker had better ask again
    bool keeps = true;      // whether the sender keeps accounts at all by now
    NamedLimits::Word word; // what the sender knows of the target
};

struct LimitMessage
{
    std::vector<NamedLimits::Word> words;
    std::vector<PermitAsk> asks;
    std::vector<PermitAnswer> answers;

    bool isEmpty() const
    {
        return this->words.empty() && this->asks.empty() && this->answers.empty();
    }
};

wire::LimitNotices toNotices(const LimitMessage &news);

// Numbers and times that no instance can mean are cut to the bounds.
LimitMessage fromNotices(const wire::LimitNotices &notices);

} // namespace jaytrack

#endif
