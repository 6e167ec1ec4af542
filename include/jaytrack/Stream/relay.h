// Passes each token of one generation to the caller exactly once and in order, and decides how to
// recover when the connection to the engine is lost.
#ifndef JAYTRACK_STREAM_RELAY_H
#define JAYTRACK_STREAM_RELAY_H

#include <cstdint>
#include <string>
#include <string_view>

namespace jaytrack {

// Identifies an attempt to obtain a stream. Frames of all but the current attempt are dropped.
using AttemptId = std::uint32_t;

// How to handle a frame from an engine.
enum class FrameVerdict {
    Pass,  // send it to the caller
    Drop,  // late, duplicate, or from an abandoned attempt
    Broken // a gap or another generation: the stream cannot continue
};

// How to recover when an attempt ends before its stream.
enum class RecoveryStep {
    OtherEngine, // nothing reached the engine: try another one
    Resume,      // attach to the same generation again at the next token
    Restart,     // the caller received nothing: a new generation may start
    GiveUp       // end the stream with a result code
};

// The state of a lost attempt on which the recovery depends.
struct LostAttempt
{
    bool maySentBytes = true;     // bytes may have reached the engine
    bool engineResumes = false;   // the engine can resume streams
    bool generationKnown = false; // the engine has sent the generation's name
    bool repeatable = false;      // the model's rules allow a second generation
    int recoveries = 0;           // recoveries of this request so far
};

// The state of one caller's stream. Not thread-safe.
class StreamRelay
{
public:
    // The parameter is the index of the first token that the caller has not received.
    explicit StreamRelay(std::uint64_t firstIndex = 0)
        : next(firstIndex)
        , first(firstIndex)
    {
    }

    // Starts the next attempt. Frames of all earlier attempts are dropped from now on.
    AttemptId beginAttempt() { return ++this->current; }

    // Sets the generation that the current attempt relays. Returns Broken if the caller has already
    // received tokens of another one.
    FrameVerdict onGeneration(AttemptId attempt, std::string_view name);

    // Decides about the next frame. If it passes, counts its token as received by the caller.
    FrameVerdict onToken(AttemptId attempt, std::uint64_t index);

    // Returns true if an event, such as the end of the stream, belongs to the current attempt.
    bool isCurrent(AttemptId attempt) const { return attempt == this->current; }

    bool seenAny() const { return this->next != this->first; }
    std::uint64_t nextIndex() const { return this->next; }
    const std::string &generation() const { return this->generationName; }

    // Decides how to recover after the current attempt was lost.
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
