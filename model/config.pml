/* Configuration: a revision, once in force on an instance, is never followed by an older one, and
 * an instance serves only what it has compared with others if others answer.
 *
 * A service that may be stale: a read may return any revision up to the newest. Two instances that
 * read it and each other; messages between them carry the revision of when they were sent and may
 * arrive arbitrarily late, after a pause or a partition. Either may crash and start with nothing.
 *
 * Guards that can be taken out:
 *   TAKE_ANY        an instance takes whatever revision it is offered
 *   SERVE_UNCHECKED a fresh instance serves before it has compared with its living peer
 */
#ifndef REVISIONS
#define REVISIONS 4
#endif
#ifdef SERVE_UNCHECKED
#define MAY_SERVE(i) (held[i] != 0 && !serving[i])
#else
#define MAY_SERVE(i) (held[i] != 0 && !serving[i] && compared[i])
#endif

byte newest = 1;
byte held[2];
bool serving[2];
bool compared[2];
byte late[2];         /* a message to the instance, still on its way; 0 is none */
byte lives[2];
bool reverted;
byte before[2];       /* what the peer, living since, had in force when the instance started */
bool served_old;      /* a fresh instance served less than that */

inline offer(i, r) {
#ifdef TAKE_ANY
    if
    :: held[i] != 0 && r < held[i] -> reverted = true; held[i] = r
    :: else -> held[i] = r
    fi
#else
    if
    :: r > held[i] -> held[i] = r
    :: else -> skip
    fi
#endif
}

proctype Publisher() {
    do
    :: newest < REVISIONS -> newest++
    :: break
    od
}

proctype Instance(byte i) {
    byte r;
end:
    do
    /* read the service, whose replica may be behind */
    :: atomic { r = 1;
        do
        :: r < newest -> r++
        :: break
        od;
        offer(i, r) }
    /* send what is held to the other; it may arrive much later */
    :: atomic { held[i] != 0 && late[1 - i] == 0 -> late[1 - i] = held[i] }
    :: atomic { late[i] != 0 -> offer(i, late[i]); late[i] = 0 }
    /* ask the peer and compare, as a fresh instance does before it serves */
    :: atomic { !compared[i] && held[1 - i] != 0 -> offer(i, held[1 - i]); compared[i] = true }
    /* the peer does not answer because it holds nothing itself */
    :: atomic { !compared[i] && held[1 - i] == 0 -> compared[i] = true }
    :: atomic { MAY_SERVE(i) -> serving[i] = true;
            if
            :: held[i] < before[i] -> served_old = true
            :: else -> skip
            fi }
    od
}

proctype Crash() {
    do
    :: atomic { lives[0] < 3 -> lives[0]++; held[0] = 0; serving[0] = false; compared[0] = false;
        before[0] = held[1]; before[1] = 0 }
    :: atomic { lives[1] < 3 -> lives[1]++; held[1] = 0; serving[1] = false; compared[1] = false;
        before[1] = held[0]; before[0] = 0 }
    :: break
    od
}

init {
    atomic { lives[0] = 1; lives[1] = 1;
        run Publisher(); run Instance(0); run Instance(1); run Crash() }
}

ltl monotone { [] (!reverted && !served_old) }
