#include "jaytrack/Peers/noticefragments.h"

#include "jaytrack/Support/compression.h"

#include "peer_types.h"

#include <algorithm>

namespace jaytrack {

std::vector<NoticeFragment> fragmentsOf(std::string_view bytes, std::int64_t batch,
                                        std::size_t maxBytes)
{
    const std::string packed = compressed(bytes);
    const std::size_t count = (packed.size() + maxBytes - 1) / maxBytes;
    std::vector<NoticeFragment> fragments;
    fragments.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        NoticeFragment fragment;
        fragment.batch = batch;
        fragment.index = static_cast<std::int32_t>(index);
        fragment.count = static_cast<std::int32_t>(count);
        fragment.plainSize = static_cast<std::int64_t>(bytes.size());
        fragment.bytes = packed.substr(index * maxBytes, maxBytes);
        fragments.push_back(std::move(fragment));
    }
    return fragments;
}

wire::FragmentNotice toNotice(const NoticeFragment &fragment)
{
    wire::FragmentNotice notice;
    notice.batch = fragment.batch;
    notice.index = fragment.index;
    notice.count = fragment.count;
    notice.plainSize = fragment.plainSize;
    notice.bytes = fragment.bytes;
    return notice;
}

NoticeFragment fromNotice(const wire::FragmentNotice &notice)
{
    return {notice.batch, notice.index, notice.count, notice.plainSize, notice.bytes};
}

bool FragmentJoiner::isAcceptable(const NoticeFragment &fragment) const
{
    return fragment.count > 0 && fragment.count <= this->options.maxFragments &&
           fragment.index >= 0 && fragment.index < fragment.count && fragment.plainSize >= 0 &&
           static_cast<std::size_t>(fragment.plainSize) <= this->options.maxPlainBytes;
}

void FragmentJoiner::dropOld()
{
    const TimePoint oldest = this->clock.now() - this->options.retention;
    std::erase_if(this->batches, [this, oldest](const auto &entry) {
        if (entry.second.startedAt >= oldest)
            return false;
        this->kept -= entry.second.bytes;
        return true;
    });
}

std::optional<std::string> FragmentJoiner::add(std::string_view origin, NoticeFragment fragment)
{
    this->dropOld();
    if (!this->isAcceptable(fragment) ||
        this->kept + fragment.bytes.size() > this->options.maxKeptBytes)
        return std::nullopt;
    const auto [found, isNew] =
            this->batches.try_emplace({std::string(origin), fragment.batch}, Batch());
    Batch &batch = found->second;
    const auto count = static_cast<std::size_t>(fragment.count);
    if (isNew) {
        batch.parts.resize(count);
        batch.missing = count;
        batch.plainSize = fragment.plainSize;
        batch.startedAt = this->clock.now();
    }
    if (batch.parts.size() != count || batch.plainSize != fragment.plainSize)
        return std::nullopt;
    std::optional<std::string> &part = batch.parts[static_cast<std::size_t>(fragment.index)];
    if (part)
        return std::nullopt;
    batch.bytes += fragment.bytes.size();
    this->kept += fragment.bytes.size();
    part = std::move(fragment.bytes);
    if (--batch.missing > 0)
        return std::nullopt;
    return this->join(found);
}

std::optional<std::string> FragmentJoiner::join(Batches::iterator complete)
{
    const Batch batch = std::move(complete->second);
    this->batches.erase(complete);
    this->kept -= batch.bytes;
    std::string whole;
    whole.reserve(batch.bytes);
    for (const std::optional<std::string> &part : batch.parts)
        whole += *part;
    return decompressed(whole, static_cast<std::size_t>(batch.plainSize),
                        this->options.maxPlainBytes);
}

} // namespace jaytrack
