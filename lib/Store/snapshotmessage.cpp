#include "jaytrack/Store/snapshotmessage.h"

#include "jaytrack/Support/digest.h"

#include <charconv>

namespace jaytrack {

namespace {

constexpr std::string_view nonceHeader = "Jaytrack-Snapshot-Nonce";
constexpr std::string_view ageHeader = "Jaytrack-Snapshot-Age-Us";
constexpr std::string_view proofHeader = "Jaytrack-Snapshot-Proof";

constexpr std::string_view requestPurpose = "snapshot-request";
constexpr std::string_view answerPurpose = "snapshot-answer";

// What the signature of an answer covers.
std::string answerText(std::string_view nonce, std::string_view age, std::string_view body)
{
    std::string text(nonce);
    text += '\n';
    text += age;
    text += '\n';
    text += body;
    return text;
}

} // namespace

std::vector<HttpHeader> encodeSnapshotRequest(std::string_view nonce, const KeyRing &keys)
{
    const std::string proof = encodeBase64Url(keys.sign(requestPurpose, nonce));
    return {{std::string(nonceHeader), std::string(nonce)}, {std::string(proofHeader), proof}};
}

std::optional<std::string> decodeSnapshotRequest(const MessageHead &head, const KeyRing &keys)
{
    std::string nonce(head.header(nonceHeader));
    const auto proof = decodeBase64Url(head.header(proofHeader));
    if (nonce.empty() || !proof || !keys.verify(requestPurpose, nonce, *proof))
        return std::nullopt;
    return nonce;
}

std::vector<HttpHeader> encodeSnapshotAnswer(std::string_view nonce, Duration age,
                                             std::string_view body, const KeyRing &keys)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(age).count();
    const std::string ageText = std::to_string(micros);
    const std::string proof = keys.sign(answerPurpose, answerText(nonce, ageText, body));
    return {{std::string(ageHeader), ageText}, {std::string(proofHeader), encodeBase64Url(proof)}};
}

std::optional<Duration> decodeSnapshotAnswer(const MessageHead &head, std::string_view nonce,
                                             std::string_view body, const KeyRing &keys)
{
    const std::string_view ageText = head.header(ageHeader);
    const auto proof = decodeBase64Url(head.header(proofHeader));
    if (!proof || !keys.verify(answerPurpose, answerText(nonce, ageText, body), *proof))
        return std::nullopt;
    std::int64_t micros = 0;
    const auto parsed = std::from_chars(ageText.data(), ageText.data() + ageText.size(), micros);
    if (parsed.ec != std::errc() || micros < 0)
        return std::nullopt;
    return std::chrono::microseconds(micros);
}

} // namespace jaytrack
