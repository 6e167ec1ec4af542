#include "jaytrack/Quarantine/requestdigest.h"

#include "jaytrack/Support/digest.h"

#include <algorithm>

namespace jaytrack {

namespace {

constexpr std::size_t digestLength = 32;
constexpr std::size_t partDigestLength = 16;
constexpr std::size_t maxPartsInLogs = 8;

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

std::string partDigest(std::string_view id)
{
    return sha256Hex("part\n" + std::string(id)).substr(0, partDigestLength);
}

std::vector<std::string> partDigests(std::span<const std::string> ids)
{
    std::vector<std::string> digests;
    digests.reserve(ids.size());
    for (const std::string &id : ids) {
        std::string digest = partDigest(id);
        if (std::find(digests.begin(), digests.end(), digest) == digests.end())
            digests.push_back(std::move(digest));
    }
    return digests;
}

std::string describeParts(std::span<const std::string> digests)
{
    std::string text;
    for (const std::string &digest : digests.first(std::min(digests.size(), maxPartsInLogs)))
        text += (text.empty() ? "" : ",") + digest;
    return text;
}

} // namespace jaytrack
