#include "jaytrack/Routing/targetentrycheck.h"

#include "jaytrack/Net/hostaddress.h"

#include <algorithm>

namespace jaytrack {

namespace {

constexpr std::string_view digits = "0123456789";

// What the query of a URL may hold as it is, except what separates or escapes its parameters.
constexpr std::string_view nameCharacters = "!$'()*,-./:=?@_~"
                                            "0123456789"
                                            "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                            "abcdefghijklmnopqrstuvwxyz";

// Digits of a start time in Unix milliseconds, which has 13; shorter numbers may be part of a name.
constexpr std::size_t minStartDigits = 10;

bool isControlByte(char c)
{
    static constexpr unsigned char firstPrintable = 0x20;
    static constexpr unsigned char deleteByte = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return byte < firstPrintable || byte == deleteByte;
}

// Whether the name is the id of an incarnation of another name, with which its target would share
// all that is known of it.
bool resemblesIncarnation(std::string_view name)
{
    const std::size_t at = name.rfind('@');
    if (at == std::string_view::npos)
        return false;
    const std::string_view start = name.substr(at + 1);
    return start.size() >= minStartDigits &&
           start.find_first_not_of(digits) == std::string_view::npos;
}

} // namespace

bool isTargetName(std::string_view text)
{
    return !text.empty() && text.size() <= maxEntryTextBytes &&
           text.find_first_not_of(nameCharacters) == std::string_view::npos &&
           !resemblesIncarnation(text);
}

bool isEntryText(std::string_view text)
{
    return text.size() <= maxEntryTextBytes &&
           std::none_of(text.begin(), text.end(), isControlByte);
}

std::optional<std::string_view> findEntryFault(const TargetEntry &entry)
{
    if (!isTargetName(entry.name))
        return "the name is not one of a target";
    if (entry.startedAt < unknownStart)
        return "the start time is negative";
    if (entry.service.empty() || !isEntryText(entry.service))
        return "the service is not a name";
    if (!isEntryText(entry.dataCentre))
        return "the data centre is not a name";
    if (!isEntryText(entry.softwareVersion))
        return "the software version is not a name";
    if (!isHostAddress(entry.address))
        return "the address is not IP:PORT of one host";
    if (entry.slots < 1 || entry.slots > maxTargetSlots)
        return "the number of slots is out of range";
    if (entry.coldFor < std::chrono::milliseconds(0) || entry.coldFor > maxColdTime)
        return "the time until the target is warm is out of range";
    return std::nullopt;
}

} // namespace jaytrack
