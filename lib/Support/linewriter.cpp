#include "jaytrack/Support/linewriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace jaytrack {

namespace {

// Time after which a blocked writer looks whether it should end.
constexpr std::chrono::milliseconds pollInterval{100};

} // namespace

LineWriter::LineWriter(int file)
    : descriptor(file)
    , writer([this] { this->run(); })
{
}

LineWriter::~LineWriter()
{
    {
        const std::lock_guard lock(this->mutex);
        this->writesUntil = std::chrono::steady_clock::now() + endTimeout;
    }
    this->changed.notify_one();
    this->writer.join();
}

void LineWriter::write(std::string_view line)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->pending.size() + line.size() > maxPendingBytes) {
            ++this->dropped;
            return;
        }
        this->pending.append(line);
        this->pending += '\n';
    }
    this->changed.notify_one();
}

void LineWriter::run()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->changed.wait(lock, [this] { return this->writesUntil || !this->pending.empty(); });
        if (this->pending.empty())
            return;
        std::string lines;
        lines.swap(this->pending);
        if (this->dropped > 0) {
            lines +=
                    "level=warning event=log_lines_dropped count=" + std::to_string(this->dropped) +
                    "\n";
            this->dropped = 0;
        }
        lock.unlock();
        this->writeAll(lines);
        lock.lock();
    }
}

// A failure of the log itself cannot be reported.
void LineWriter::writeAll(std::string_view text)
{
    while (!text.empty()) {
        if (!this->awaitRoom())
            return;
        // A pipe that is ready has room for this much, so that the call does not block.
        const std::size_t part = std::min<std::size_t>(text.size(), PIPE_BUF);
        const ssize_t written = ::write(this->descriptor, text.data(), part);
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return;
        text.remove_prefix(written < 0 ? 0 : static_cast<std::size_t>(written));
    }
}

// Returns false if the file has no room in time for the end.
bool LineWriter::awaitRoom()
{
    while (true) {
        pollfd room{this->descriptor, POLLOUT, 0};
        if (::poll(&room, 1, pollInterval.count()) > 0)
            return true;
        const std::lock_guard lock(this->mutex);
        if (this->writesUntil && std::chrono::steady_clock::now() >= *this->writesUntil)
            return false;
    }
}

} // namespace jaytrack
