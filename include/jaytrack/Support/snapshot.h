// A value that many threads read and few replace, by read-copy-update (liburcu).
#ifndef JAYTRACK_SUPPORT_SNAPSHOT_H
#define JAYTRACK_SUPPORT_SNAPSHOT_H

#include <memory>
#include <mutex>

namespace jaytrack {

namespace rcu {

// Thin wrappers, so that liburcu's macros stay out of headers.
void readLock();
void readUnlock();
void waitForReaders();
void *load(void *const *cell);
void *exchange(void **cell, void *fresh);

} // namespace rcu

// Holds the current value. A reader takes a counted reference inside a read-side section, which
// costs no lock, and may keep it for as long as its request lasts: that is how one request stays
// under one revision while newer ones come into force.
template <typename T>
class Snapshot
{
public:
    Snapshot() = default;
    ~Snapshot() { delete static_cast<Held *>(this->cell); }
    Snapshot(const Snapshot &) = delete;
    Snapshot &operator=(const Snapshot &) = delete;

    // The current value; null if none was stored.
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
