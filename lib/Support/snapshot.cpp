#include "jaytrack/Support/snapshot.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
// The thread sanitizer does not recognise the ordering that liburcu enforces with the membarrier
// system call, so the same ordering is annotated explicitly.
extern "C" void __tsan_acquire(void *address);
extern "C" void __tsan_release(void *address);
#    define JAYTRACK_TSAN_ACQUIRE(address) __tsan_acquire(address)
#    define JAYTRACK_TSAN_RELEASE(address) __tsan_release(address)
#else
#    define JAYTRACK_TSAN_ACQUIRE(address) static_cast<void>(address)
#    define JAYTRACK_TSAN_RELEASE(address) static_cast<void>(address)
#endif

namespace jaytrack::rcu {

namespace {

char readersDone; // only its address is used

// liburcu requires each reading thread to be registered from before its first read-side section
// until the thread ends.
struct Registration
{
    Registration() { urcu_memb_register_thread(); }
    ~Registration() { urcu_memb_unregister_thread(); }
    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;
};

void registerThread()
{
    static thread_local const Registration registration;
}

} // namespace

void readLock()
{
    registerThread();
    urcu_memb_read_lock();
}

void readUnlock()
{
    JAYTRACK_TSAN_RELEASE(&readersDone);
    urcu_memb_read_unlock();
}

void waitForReaders()
{
    urcu_memb_synchronize_rcu();
    JAYTRACK_TSAN_ACQUIRE(&readersDone);
}

void *load(void *const *cell)
{
    return __atomic_load_n(cell, __ATOMIC_ACQUIRE);
}

void *exchange(void **cell, void *fresh)
{
    return __atomic_exchange_n(cell, fresh, __ATOMIC_ACQ_REL);
}

} // namespace jaytrack::rcu
