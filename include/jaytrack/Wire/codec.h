// Encodes and decodes the Thrift structures of idl/peer.thrift in Thrift's compact protocol.
#ifndef JAYTRACK_WIRE_CODEC_H
#define JAYTRACK_WIRE_CODEC_H

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jaytrack {

template <typename Message>
std::string encodeMessage(const Message &message)
{
    using namespace apache::thrift;
    const auto buffer = std::make_shared<transport::TMemoryBuffer>();
    protocol::TCompactProtocolT<transport::TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

// Returns nothing if the bytes are not a valid message. All input from other processes is decoded
// here, so every exception of the library is treated as malformed input rather than as a crash. No
// list may have more than maxElements.
template <typename Message>
std::optional<Message> decodeMessage(std::string_view bytes, int maxElements = 4096)
{
    using namespace apache::thrift;
    try {
        const auto buffer = std::make_shared<transport::TMemoryBuffer>(
                reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data())),
                static_cast<std::uint32_t>(bytes.size()));
        protocol::TCompactProtocolT<transport::TMemoryBuffer> protocol(
                buffer, static_cast<std::int32_t>(bytes.size()), maxElements);
        Message message;
        message.read(&protocol);
        return message;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace jaytrack

#endif
