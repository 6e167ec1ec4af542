#include "jaytrack/Routing/sendgate.h"

namespace jaytrack {

std::string_view SendGate::refusal(std::string_view target, bool isNewWork) const
{
    if (!isNewWork)
        return {};
    if (!this->directory.isOpen(target))
        return "target_leaving";
    const TargetEntry *listed = this->directory.find(target);
    return this->directory.isOutOfUse(listed->dataCentre) ? "data_centre_out_of_use"
                                                          : std::string_view();
}

} // namespace jaytrack
