// Definitions shared by the two source files of the fleet policy. Private to the library.
#ifndef JAYTRACK_LIB_POLICY_GRANTING_H
#define JAYTRACK_LIB_POLICY_GRANTING_H

namespace jaytrack {

// Kinds of message between an instance and an engine's home, as written in GrantBody.kind.
enum GrantKind {
    GrantRequest = 0,
    GrantGiven = 1,
    GrantQueued = 2,
    GrantRefused = 3,
    GrantWithdrawn = 4,
    GrantFinished = 5,
    GrantLost = 6,
    GrantHeld = 7, // a generation that already decodes, reported to a new home
    GrantProgress = 8
};

// Number of engines tried for a request before it counts as refused or unanswered.
inline constexpr int maxAttempts = 3;

} // namespace jaytrack

#endif
