#include "jaytrack/Net/hostaddress.h"

#include "jaytrack/Net/socket.h"

namespace jaytrack {

namespace {

bool isUnicast(const asio::ip::address_v4 &ip)
{
    return !ip.is_unspecified() && !ip.is_multicast() && ip != asio::ip::address_v4::broadcast();
}

bool isUnicast(const asio::ip::address &ip)
{
    if (ip.is_v4())
        return isUnicast(ip.to_v4());
    if (ip.to_v6().is_v4_mapped())
        return isUnicast(asio::ip::make_address_v4(asio::ip::v4_mapped, ip.to_v6()));
    return !ip.is_unspecified() && !ip.is_multicast();
}

} // namespace

// Other characters than these belong to the name of a network interface, which means nothing on
// another machine and may hold any bytes.
bool isHostAddress(std::string_view text)
{
    static constexpr std::string_view allowed = "0123456789abcdefABCDEF.:";
    if (text.find_first_not_of(allowed) != text.npos)
        return false;
    const auto endpoint = parseEndpoint(text);
    return endpoint && endpoint.value().port() != 0 && isUnicast(endpoint.value().address());
}

} // namespace jaytrack
