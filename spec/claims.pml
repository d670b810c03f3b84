/* At-most-once requests: three attempts with the same idempotency key. The entry may crash at any step, and the
 * responses of the target and of control may be lost or late.
 *
 * Properties: the target executes the request at most once; an attempt is reported as not run only if it was not
 * executed.
 * BREAK_CLAIM: an attempt dispatches without waiting for its claim.
 * BREAK_RELEASE: an attempt releases the key after bytes reached the target.
 */
mtype = { none, held, done, lost };
mtype claim = none;
byte holder, executions;

proctype attempt(byte id)
{
    bool mine = false;
    bool sent = false;
    /* the claim: its response may be lost although it was granted */
    if
    :: atomic { claim == none -> claim = held; holder = id; mine = true }
    :: atomic { claim == none -> claim = held; holder = id }      /* response lost */
#ifdef BREAK_CLAIM
    :: mine = true
#endif
    :: claim != none                                              /* in progress, done or unknown */
    fi;
    if
    :: mine ->
        if
        :: goto ended                                             /* the entry crashes before it dispatches */
        :: atomic { executions++; sent = true }                   /* the target executes the request */
        :: atomic { holder == id && claim == held -> claim = none }; goto ended   /* no byte reached the target */
        fi;
        assert(executions <= 1);
        if
        :: goto ended                                             /* the entry crashes: the claim stays held */
        :: atomic { holder == id && claim == held -> claim = done }
        :: atomic { holder == id && claim == held -> claim = lost }  /* response lost */
#ifdef BREAK_RELEASE
        :: atomic { holder == id && claim == held -> claim = none }
#endif
        fi
    :: !mine && holder == id && claim == held && !sent ->
        /* releases a claim that may have been granted: nothing was dispatched under it */
        atomic { holder == id && claim == held -> claim = none }
    :: else
    fi;
ended:
    skip
}

init { atomic { run attempt(1); run attempt(2); run attempt(3) } }
