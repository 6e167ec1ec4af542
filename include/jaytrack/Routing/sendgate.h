// Decides at the time of sending whether a target may still receive a call. The target was chosen
// earlier; since then the call may have waited for permits, a connection or another instance.
#ifndef JAYTRACK_ROUTING_SENDGATE_H
#define JAYTRACK_ROUTING_SENDGATE_H

#include "jaytrack/Routing/targetdirectory.h"

#include <string_view>

namespace jaytrack {

class SendGate
{
public:
    explicit SendGate(const TargetDirectory &targets)
        : directory(targets)
    {
    }

    // Returns why the call must not be sent now; empty if it may be. Calls that give the target no
    // new work, such as load probes and orders to copy a run, may go to targets that are leaving.
    std::string_view refusal(std::string_view target, bool isNewWork) const;

private:
    const TargetDirectory &directory;
};

} // namespace jaytrack

#endif
