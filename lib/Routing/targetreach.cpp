#include "jaytrack/Routing/targetreach.h"

namespace jaytrack {

TargetReach::TargetReach(const Clock &time, TargetReachOptions initialOptions)
    : clock(time)
    , options(initialOptions)
    , connectedAt(time.now())
{
}

bool TargetReach::isRetryDue(TimePoint lastRetry, CallPurpose purpose) const
{
    const Duration wait = purpose == CallPurpose::Background ? this->options.backgroundRetry
                                                             : this->options.requestRetry;
    return this->clock.now() - lastRetry >= wait;
}

TargetReach::Link &TargetReach::linkOf(std::string_view target, std::string_view service)
{
    Link &link = this->links.try_emplace(std::string(target)).first->second;
    link.service = service;
    return link;
}

CallPath TargetReach::choose(std::string_view target, std::string_view service, CallPurpose purpose)
{
    if (!this->isLost(target, service) || !this->mayAskPeers(target))
        return CallPath::Direct;
    const auto group = this->services.find(service);
    const bool cutOff = group != this->services.end() && group->second.cutOff;
    TimePoint &lastRetry =
            cutOff ? group->second.retriedAt : this->links.find(target)->second.retriedAt;
    if (!this->isRetryDue(lastRetry, purpose))
        return CallPath::ThroughPeer;
    lastRetry = this->clock.now();
    return CallPath::Direct;
}

bool TargetReach::mayAskPeers(std::string_view target) const
{
    const auto link = this->links.find(target);
    return link == this->links.end() || this->clock.now() >= link->second.downUntil;
}

bool TargetReach::recordConnected(std::string_view target, std::string_view service)
{
    this->connectedAt = this->clock.now();
    this->forget(target);
    const auto group = this->services.find(service);
    if (group == this->services.end())
        return false;
    const bool wasCutOff = group->second.cutOff;
    this->services.erase(group);
    if (wasCutOff)
        std::erase_if(this->links,
                      [service](const auto &entry) { return entry.second.service == service; });
    return wasCutOff;
}

bool TargetReach::recordReachedByPeer(std::string_view target, std::string_view service)
{
    const TimePoint now = this->clock.now();
    Link &link = this->linkOf(target, service);
    ServiceLinks &group = this->services.try_emplace(std::string(service)).first->second;
    if (!link.lost) {
        link.lost = true;
        link.retriedAt = now;
        ++group.lostInRow;
    }
    if (group.cutOff || group.lostInRow < this->options.targetsToBeCutOff)
        return false;
    group.cutOff = true;
    group.retriedAt = now;
    return true;
}

void TargetReach::recordDown(std::string_view target)
{
    Link &link = this->links.try_emplace(std::string(target)).first->second;
    link.downUntil = this->clock.now() + this->options.downMemory;
}

bool TargetReach::isCutOff(std::string_view service) const
{
    const auto group = this->services.find(service);
    return group != this->services.end() && group->second.cutOff;
}

bool TargetReach::isLost(std::string_view target, std::string_view service) const
{
    const auto link = this->links.find(target);
    return this->isCutOff(service) || (link != this->links.end() && link->second.lost);
}

bool TargetReach::isTargetsFault(std::string_view target, std::string_view service) const
{
    if (this->isLost(target, service))
        return false;
    return !this->mayAskPeers(target) || this->sinceConnected() < this->options.connectedMemory;
}

void TargetReach::forget(std::string_view target)
{
    const auto link = this->links.find(target);
    if (link != this->links.end())
        this->links.erase(link);
}

} // namespace jaytrack
