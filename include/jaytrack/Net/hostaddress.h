// Checks the addresses that others write for targets and instances.
#ifndef JAYTRACK_NET_HOSTADDRESS_H
#define JAYTRACK_NET_HOSTADDRESS_H

#include <string_view>

namespace jaytrack {

// Whether the text is IP:PORT of a single host to which something can be sent: no port 0, and no
// unspecified, multicast or broadcast address.
bool isHostAddress(std::string_view text);

} // namespace jaytrack

#endif
