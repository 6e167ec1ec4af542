// The order of one caller's stream: lets each token of one generation pass once and in order, and
// decides how to go on when the connection to the engine is lost.
#ifndef JAYTRACK_STREAM_RELAY_H
#define JAYTRACK_STREAM_RELAY_H

#include <cstdint>
#include <string>
#include <string_view>

namespace jaytrack {

// Numbers the attempts to obtain a stream. Frames of any but the current attempt are dropped.
using AttemptId = std::uint32_t;

// What to do with a frame from an engine.
enum class FrameVerdict {
    Pass,  // give it to the caller
    Drop,  // late, duplicated, or of an abandoned attempt
    Broken // a gap or another generation: the stream cannot go on
};

// What to do when an attempt ended before its stream did.
enum class RecoveryStep {
    OtherEngine, // nothing reached the engine: ask another one
    Resume,      // attach to the same generation again at the next token
    Restart,     // nothing was seen by the caller: a new generation may start
    GiveUp       // end the stream with a code
};

// What recovery depends on.
struct LostAttempt
{
    bool maySentBytes = true;     // bytes may have reached the engine
    bool engineResumes = false;   // the engine can resume streams
    bool generationKnown = false; // the engine told the generation's name
    bool repeatable = false;      // the model's rules allow a second generation
    int recoveries = 0;           // how many recoveries this request has had
};

// One caller's stream. Not safe for several threads at once.
class StreamRelay
{
public:
    // The index of the first token that the caller still lacks.
    explicit StreamRelay(std::uint64_t firstIndex = 0)
        : next(firstIndex)
        , first(firstIndex)
    {
    }

    // Starts the next attempt; frames of all earlier ones are dropped from now on.
    AttemptId beginAttempt() { return ++this->current; }

    // Fixes which generation the current attempt relays. Broken if the caller has already seen
    // tokens of another one.
    FrameVerdict onGeneration(AttemptId attempt, std::string_view name);

    // Judges the next frame and, if it passes, counts it as seen by the caller.
    FrameVerdict onToken(AttemptId attempt, std::uint64_t index);

    // Whether an event such as the end belongs to the current attempt.
    bool isCurrent(AttemptId attempt) const { return attempt == this->current; }

    bool seenAny() const { return this->next != this->first; }
    std::uint64_t nextIndex() const { return this->next; }
    const std::string &generation() const { return this->generationName; }

    // Decides how to go on after the current attempt was lost.
    RecoveryStep recover(const LostAttempt &lost) const;

private:
    static constexpr int maxRecoveries = 6;
    static constexpr int resumesBeforeRestart = 2;

    AttemptId current = 0;
    std::uint64_t next;
    std::uint64_t first;
    std::string generationName;
};

} // namespace jaytrack

#endif
