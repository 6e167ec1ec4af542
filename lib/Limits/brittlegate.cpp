#include "jaytrack/Limits/brittlegate.h"

#include "jaytrack/Support/log.h"

namespace jaytrack {

BrittleGate::BrittleGate(asio::io_context &loop, const Clock &time, std::string ownName,
                         std::size_t expectedOthers, std::uint64_t seed,
                         LimitTransport &peerTransport, Metrics &counters)
    : control(time)
    , permits(loop, time, std::move(ownName), expectedOthers, seed, peerTransport, counters,
              {RefusalControl::permitOptions(), "jaytrack_brittle_permits_total"})
{
}

void BrittleGate::recordBrittle(std::string_view target, double toleratedRefusals)
{
    if (this->control.recordBrittle(target, toleratedRefusals))
        logEvent(Severity::Info, "target_brittle",
                 {{"target", target},
                  {"tolerated_refusals", std::string_view(std::to_string(toleratedRefusals))}});
}

void BrittleGate::recordSound(std::string_view target, Duration sentAgo)
{
    if (!this->control.recordSound(target, sentAgo))
        return;
    logEvent(Severity::Info, "target_no_longer_brittle", {{"target", target}});
    this->permits.recordNoLimit(target, sentAgo);
}

void BrittleGate::recordServed(std::string_view service, int slots, Duration took)
{
    for (const std::string &target : this->control.recordServed(service, slots, took)) {
        const auto rate = this->control.correctedRate(service, this->permits.limitOf(target));
        if (rate)
            this->permits.imposeLimit(target, *rate);
    }
}

void BrittleGate::recordRefusal(std::string_view target, std::string_view service)
{
    if (!this->control.isBrittle(target))
        return;
    const std::optional<double> inForce = this->permits.limitOf(target);
    const double rate = this->control.rateAfterRefusal(target, service, inForce);
    if (!inForce || rate < *inForce)
        this->permits.imposeLimit(target, rate);
}

void BrittleGate::forget(std::string_view target)
{
    this->control.forget(target);
    this->permits.forget(target);
}

} // namespace jaytrack
