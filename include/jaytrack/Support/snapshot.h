// A value that is read by many threads and rarely replaced, implemented by read-copy-update
// (liburcu).
#ifndef JAYTRACK_SUPPORT_SNAPSHOT_H
#define JAYTRACK_SUPPORT_SNAPSHOT_H

#include <memory>
#include <mutex>

namespace jaytrack {

namespace rcu {

// Thin wrappers that keep the macros of liburcu out of headers.
void readLock();
void readUnlock();
void waitForReaders();
void *load(void *const *cell);
void *exchange(void **cell, void *fresh);

} // namespace rcu

// Holds the current value. A reader takes a counted reference inside a read-side section, without a
// lock, and may keep it for the duration of its request. A request thus uses one revision
// throughout, even if newer ones take effect meanwhile.
template <typename T>
class Snapshot
{
public:
    Snapshot() = default;
    ~Snapshot() { delete static_cast<Held *>(this->cell); }
    Snapshot(const Snapshot &) = delete;
    Snapshot &operator=(const Snapshot &) = delete;

    // Returns the current value; null if none was stored.
    std::shared_ptr<const T> get() const
    {
        rcu::readLock();
        const auto *held = static_cast<const Held *>(rcu::load(&this->cell));
        std::shared_ptr<const T> value = held == nullptr ? nullptr : *held;
        rcu::readUnlock();
        return value;
    }

    // Replaces the value and waits until no reader can still be copying the old one.
    void set(std::shared_ptr<const T> value)
    {
        const std::lock_guard lock(this->writers);
        auto *old = static_cast<Held *>(rcu::exchange(&this->cell, new Held(std::move(value))));
        rcu::waitForReaders();
        delete old;
    }

private:
    using Held = std::shared_ptr<const T>;

    void *cell = nullptr;
    std::mutex writers;
};

} // namespace jaytrack

#endif
