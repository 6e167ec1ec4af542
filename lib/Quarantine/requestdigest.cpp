#include "jaytrack/Quarantine/requestdigest.h"

#include "jaytrack/Support/digest.h"

namespace jaytrack {

namespace {

constexpr std::size_t digestLength = 32;

} // namespace

// The fields before the body cannot contain a line feed, so different requests cannot produce the
// same text.
std::string requestDigest(const RequestContent &content)
{
    std::string text;
    text.reserve(content.method.size() + content.host.size() + content.target.size() +
                 content.customer.size() + content.body.size() + 4);
    for (const std::string_view field :
         {content.method, content.host, content.target, content.customer}) {
        text += field;
        text += '\n';
    }
    text += content.body;
    return sha256Hex(text).substr(0, digestLength);
}

} // namespace jaytrack
