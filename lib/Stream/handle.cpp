#include "jaytrack/Stream/handle.h"

#include "jaytrack/Support/keyring.h"
#include "jaytrack/Wire/codec.h"

#include "peer_types.h"

#include <charconv>

namespace jaytrack {

namespace {

constexpr std::string_view handlePurpose = "stream";
constexpr char separator = '.'; // does not occur in sealed texts

} // namespace

std::string StreamHandle::seal(const KeyRing &keys) const
{
    wire::StreamHandleBody body;
    body.engine = this->engine;
    body.generation = this->generation;
    body.customer = this->customer;
    body.model = this->model;
    return keys.seal(handlePurpose, encodeMessage(body));
}

std::optional<StreamHandle> StreamHandle::unseal(const KeyRing &keys, std::string_view text)
{
    const std::optional<std::string> data = keys.unseal(handlePurpose, text);
    if (!data)
        return std::nullopt;
    const auto body = decodeMessage<wire::StreamHandleBody>(*data);
    if (!body)
        return std::nullopt;
    return StreamHandle{body->engine, body->generation, body->customer, body->model};
}

std::string Cursor::text() const
{
    return this->handle + separator + std::to_string(this->index);
}

std::optional<Cursor> Cursor::parse(std::string_view text)
{
    const std::size_t at = text.rfind(separator);
    if (at == std::string_view::npos || at == 0)
        return std::nullopt;
    const std::optional<std::uint64_t> index = parseIndex(text.substr(at + 1));
    if (!index)
        return std::nullopt;
    return Cursor{std::string(text.substr(0, at)), *index};
}

std::optional<std::uint64_t> parseIndex(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stopped, failure] = std::from_chars(text.data(), end, value);
    if (text.empty() || failure != std::errc() || stopped != end)
        return std::nullopt;
    return value;
}

} // namespace jaytrack
