#include "jaytrack/Net/targetaddress.h"

#include "jaytrack/Net/socket.h"

namespace jaytrack {

bool isTargetAddress(std::string_view address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint || endpoint.value().port() == 0)
        return false;
    const asio::ip::address ip = endpoint.value().address();
    const bool isBroadcast = ip.is_v4() && ip.to_v4() == asio::ip::address_v4::broadcast();
    return !ip.is_unspecified() && !ip.is_multicast() && !isBroadcast;
}

} // namespace jaytrack
