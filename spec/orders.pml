/* Orders to a target that does not check fencing tokens: two issuers, one lease and a shared clock. An issuer may pause
 * between any two steps, as under SIGSTOP, but reads the clock immediately before it sends.
 *
 * Property: the target never executes an order of an issuer after one of an issuer that acquired the lease later.
 * BREAK_MARGIN: the holder's lease does not end earlier than control's.
 */
#define LEASE 4
#ifdef BREAK_MARGIN
#define MARGIN 0
#define SLACK 2
#else
#define MARGIN 2
#define SLACK 2     /* ticks for which an order may be in transit; at most the margin */
#endif
#define MAXTIME 12

byte now, leaseUntil, leaseHolder, fence;
byte obeyed;            /* highest fencing token of an executed order */

proctype issuer(byte id)
{
    byte mine = 0, until = 0, sentAt = 0;
    do
    :: atomic { now < MAXTIME && (now >= leaseUntil || leaseHolder == id) ->
        if :: leaseHolder != id || now >= leaseUntil -> fence++ :: else fi;
        leaseHolder = id; leaseUntil = now + LEASE; mine = fence; until = now + LEASE - MARGIN }
    :: atomic { mine > 0 && now < until -> sentAt = now };
        /* the order is in transit */
        atomic { (now - sentAt <= SLACK) ->
            assert(mine >= obeyed);
            obeyed = mine }
    :: now >= MAXTIME -> break
    od
}

/* Advances the time. An order in transit arrives within SLACK ticks or is lost, since calls have a timeout. */
proctype clock()
{
    do
    :: now < MAXTIME -> now++
    :: now >= MAXTIME -> break
    od
}

init { atomic { leaseHolder = 9; run issuer(1); run issuer(2); run clock() } }
