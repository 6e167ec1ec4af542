/* At most once: tickets, their issuers, and repeats of one caller at any instance.
 *
 * Two instances, each of up to INCARNATIONS lives with amnesia between them, one caller that
 * repeats up to REPEATS times at any instance, one target. Requests, forwards and answers may be
 * lost, late or doubled: every message in flight stays deliverable for ever, and may be delivered
 * again. Instances may be paused at any point, which interleaving alone already expresses, since a
 * process may take its next step arbitrarily late. The roster that an instance knows may lag: it
 * may take a dead incarnation for alive or a living one for dead at any moment.
 *
 * Safety, checked at each step: the ticket runs at most once; "not run" is never said of a ticket
 * that ran or may still run; "complete" is only said of one that ran.
 *
 * Built with one of the following, a guard is taken out, and the checker must find a violation:
 *   NO_LEDGER       a claim does not mark the ticket as taken
 *   ANY_INCARNATION a new life runs the tickets of the former one
 *   GONE_IS_NOT_RUN the end of the issuer is told as "not run"
 *   RUN_ANYWHERE    an instance runs a ticket whose issuer it holds for dead
 *   FORGOTTEN_RUNS  a ticket that the ledger has dropped is taken for new
 */
#ifndef INCARNATIONS
#define INCARNATIONS 3
#endif
#ifndef REPEATS
#define REPEATS 3
#endif

#define ISSUED 1
#define RUNNING 2
#define DONE 3
#define FORGOTTEN 0

byte life[2];        /* the incarnation of each instance */
byte ledger[2];      /* what each knows of the ticket, in its memory */
byte issuerLife;     /* named in the ticket; the issuer is instance 0 */
byte runs;           /* at the target */
byte sends;          /* on their way to the target */
bool told_complete, told_not_run, told_unknown;
bool atEntry[2];     /* a request under the ticket waits at the instance */
byte asked;          /* how often the caller has sent it */
bool answered;       /* the target's answer is on its way to the issuer */
byte answeredLife;

inline say_complete() { told_complete = true }
inline say_not_run()  { told_not_run = true }
inline say_unknown()  { told_unknown = true }

/* The issuer's own decision about a request under its ticket. */
inline claim(i) {
    if
    :: ledger[i] == ISSUED ->
#ifndef NO_LEDGER
        ledger[i] = RUNNING;
#endif
        sends++
    :: ledger[i] == RUNNING -> skip           /* its answer will come */
    :: ledger[i] == DONE -> say_complete()
    :: ledger[i] == FORGOTTEN ->
#ifdef FORGOTTEN_RUNS
        ledger[i] = RUNNING; sends++
#else
        say_unknown()
#endif
    fi
}

inline serve(i) {
    if
    :: i == 0 && life[0] == issuerLife -> claim(0)
#ifdef ANY_INCARNATION
    :: i == 0 && life[0] != issuerLife -> ledger[0] = ISSUED; claim(0)
#else
    :: i == 0 && life[0] != issuerLife -> say_unknown()
#endif
    :: i == 1 ->
        if
        :: life[0] == issuerLife -> atEntry[0] = true   /* forwarded */
        :: true ->                                      /* held for gone, rightly or not */
#ifdef GONE_IS_NOT_RUN
            say_not_run()
#else
#ifdef RUN_ANYWHERE
            sends++
#else
            say_unknown()
#endif
#endif
        fi
    fi
}

proctype Caller() {
    do
    :: asked < REPEATS ->
        atomic { asked++;
            if
            :: atEntry[0] = true
            :: atEntry[1] = true
            :: skip                           /* lost */
            fi }
    :: asked >= REPEATS -> break
    od
}

proctype Entry(byte i) {
end:
    do
    :: atomic { atEntry[i] -> serve(i);
        if
        :: atEntry[i] = false
        :: skip                               /* delivered again later */
        fi }
    od
}

proctype Target() {
end:
    do
    :: atomic { sends > 0 -> sends--; runs++;
        if
        :: answered = true; answeredLife = issuerLife
        :: skip                               /* the answer is lost */
        fi }
    od
}

proctype Answers() {
end:
    do
    :: atomic { answered && life[0] == answeredLife && ledger[0] == RUNNING ->
        ledger[0] = DONE; answered = false; say_complete() }
    :: atomic { ledger[0] == RUNNING && life[0] == issuerLife ->
        ledger[0] = FORGOTTEN; say_unknown() } /* timed out, then dropped from memory */
    :: atomic { ledger[0] == DONE -> ledger[0] = FORGOTTEN }
    :: atomic { ledger[0] == RUNNING && sends > 0 && life[0] == issuerLife ->
        /* the connection was refused: nothing reached the target, the ticket may run again */
        sends--; ledger[0] = ISSUED }
    od
}

proctype Crash() {
    byte i;
    do
    :: atomic { life[0] < INCARNATIONS -> life[0]++; ledger[0] = FORGOTTEN; atEntry[0] = false }
    :: atomic { life[1] < INCARNATIONS -> life[1]++; atEntry[1] = false }
    :: break
    od
}

init {
    atomic {
        life[0] = 1; life[1] = 1;
        issuerLife = 1; ledger[0] = ISSUED;
        run Caller(); run Entry(0); run Entry(1); run Target(); run Answers(); run Crash()
    }
}

#define safe (runs <= 1 && !(told_not_run && (runs + sends) > 0) && (!told_complete || runs >= 1))
ltl at_most_once { [] safe }
