#include "jaytrack/Proxy/answermemory.h"

#include <algorithm>

namespace jaytrack {

bool AnswerMemory::Holding::resize(std::size_t bytes)
{
    const std::size_t wanted = bytes - std::min(bytes, freeBytes);
    const std::size_t ofOthers = this->owner.used - this->counted;
    if (wanted > this->counted && ofOthers + wanted > this->owner.limit)
        return false;
    this->owner.used = ofOthers + wanted;
    this->counted = wanted;
    return true;
}

} // namespace jaytrack
