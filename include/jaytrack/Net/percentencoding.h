// Encodes text for paths and queries of URLs.
#ifndef JAYTRACK_NET_PERCENTENCODING_H
#define JAYTRACK_NET_PERCENTENCODING_H

#include <string>
#include <string_view>

namespace jaytrack {

// Returns the bytes percent-encoded, so that they can be a segment of a path or a value of a query.
std::string percentEncoded(std::string_view bytes);

} // namespace jaytrack

#endif
