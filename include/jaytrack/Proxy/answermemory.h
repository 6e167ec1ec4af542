// Bounds the memory that answers from targets occupy together while they are being received.
#ifndef JAYTRACK_PROXY_ANSWERMEMORY_H
#define JAYTRACK_PROXY_ANSWERMEMORY_H

#include <cstddef>

namespace jaytrack {

// A faulty target may send bytes without end in every answer. The limit of a single answer does not
// bound their sum.
class AnswerMemory
{
public:
    // What each answer may occupy in any case, so that large answers do not fail ordinary ones.
    static constexpr std::size_t freeBytes = 64U << 10U;

    // The limit applies to what answers occupy beyond freeBytes, in bytes.
    explicit AnswerMemory(std::size_t limitBytes)
        : limit(limitBytes)
    {
    }

    // What one answer occupies. Must not outlive its AnswerMemory.
    class Holding
    {
    public:
        explicit Holding(AnswerMemory &memory)
            : owner(memory)
        {
        }
        ~Holding() { this->resize(0); }
        Holding(const Holding &) = delete;
        Holding &operator=(const Holding &) = delete;

        // Changes the size of the answer to this number of bytes. Returns false, and changes
        // nothing, if that would exceed the limit.
        bool resize(std::size_t bytes);

    private:
        AnswerMemory &owner;
        std::size_t counted = 0;
    };

private:
    std::size_t limit;
    std::size_t used = 0;
};

} // namespace jaytrack

#endif
