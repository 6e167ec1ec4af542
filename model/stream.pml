/* A stream: each token of one generation reaches the caller once and in order, over attempts of
 * the relay, the caller's reconnections, and engines that lose generations.
 *
 * Frames are (attempt, generation, index). The network keeps a frame of each of the last attempts
 * and may deliver it at any time, again and out of order. The engine may lose its generation; a
 * new one has another name. The caller may leave a connection and come back with its cursor.
 *
 * Guards that can be taken out:
 *   ANY_ATTEMPT     frames of abandoned attempts count
 *   NO_ORDER        a frame counts whatever its index
 *   RESTART_SEEN    a new generation may start though the caller has seen tokens
 */
#ifndef TOKENS
#define TOKENS 3
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 4
#endif
#ifdef ANY_ATTEMPT
#define CURRENT(a) true
#else
#define CURRENT(a) (a == attempt)
#endif
#ifdef NO_ORDER
#define DUE(i) true
#else
#define DUE(i) (i == next)
#endif

byte generation = 1;      /* that the engine has */
byte attempt;             /* the relay's current one */
byte attemptGeneration;   /* which generation the current attempt relays */
byte next;                /* the relay's next index */
byte produced;
byte callerNext;
byte callerGeneration;
bool broken;              /* the stream was ended with a code */
bool spliced, disordered;

chan wire = [3] of { byte, byte, byte };

inline give(g, i) {
    if
    :: callerGeneration == 0 -> callerGeneration = g
    :: else -> skip
    fi;
    if
    :: callerGeneration != g -> spliced = true
    :: else -> skip
    fi;
    if
    :: i != callerNext -> disordered = true
    :: else -> callerNext++
    fi
}

proctype Engine() {
end:
    do
    :: atomic { produced < TOKENS -> produced++ }
    /* sends any token that it has to the current attempt */
    :: atomic { attempt > 0 && produced > 0 && nfull(wire) && attemptGeneration == generation ->
        byte i = 0;
        do
        :: i + 1 < produced -> i++
        :: break
        od;
        wire!attempt, generation, i }
    /* dies: the generation is lost, a later one will have another name */
    :: atomic { generation < 3 -> generation++; produced = 0 }
    od
}

proctype Relay() {
    byte a, g, i;
end:
    do
    /* begin or go on: attach to the generation at the next index */
    :: atomic { !broken && attempt < ATTEMPTS ->
        if
        :: attemptGeneration == 0 || attemptGeneration == generation ->
            attempt++; attemptGeneration = generation
#ifdef RESTART_SEEN
        :: attemptGeneration != 0 && attemptGeneration != generation ->
            attempt++; attemptGeneration = generation; next = 0
#else
        :: attemptGeneration != 0 && attemptGeneration != generation && next == 0 ->
            attempt++; attemptGeneration = generation
        :: attemptGeneration != 0 && attemptGeneration != generation && next > 0 ->
            broken = true
#endif
        fi }
    /* a frame arrives; it may be kept by the network and arrive again */
    :: atomic { wire?a, g, i ->
        if
        :: nfull(wire) -> wire!a, g, i
        :: skip
        fi;
        if
        :: !broken && CURRENT(a) && DUE(i) -> next = i + 1; give(g, i)
        :: else -> skip
        fi }
    /* the caller comes back elsewhere with its cursor: another relay, at its place */
    :: atomic { !broken && callerNext > 0 && attempt < ATTEMPTS -> next = callerNext; attempt++ }
    od
}

init {
    atomic { run Engine(); run Relay() }
}

ltl once_in_order { [] (!spliced && !disordered) }
