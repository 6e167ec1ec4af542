// What the two halves of the fleet policy share; private to the library.
#ifndef JAYTRACK_LIB_POLICY_GRANTING_H
#define JAYTRACK_LIB_POLICY_GRANTING_H

namespace jaytrack {

// Steps in the handing out of room, as they stand in GrantBody.kind.
enum GrantKind {
    GrantAsk = 0,
    GrantGiven = 1,
    GrantQueued = 2,
    GrantRefused = 3,
    GrantWithdrawn = 4,
    GrantFinished = 5,
    GrantLost = 6,
    GrantHeld = 7, // a generation that decodes already, told to a new home
    GrantProgress = 8
};

// How many engines a request is asked for before it counts as refused or unanswered.
inline constexpr int mostAttempts = 3;

} // namespace jaytrack

#endif
