/* Raft elections, replication, crashes that keep the synced state, and a lost disk that rejoins as a new incarnation.
 *
 * Three nodes, with bounded terms and log. A message exchange between two nodes is one atomic step that may or may not
 * happen, which models message loss, delay up to the next step and one-way partitions. A node responds only after it
 * has synced its state.
 *
 * Properties: at most one leader per term (election safety), and every new leader holds all committed entries (leader
 * completeness).
 * BREAK_LOG: votes are granted regardless of the candidate's log.
 * BREAK_SYNC: a vote is granted before it is synced and is lost in a crash.
 * BREAK_IDENTITY: a node that lost its disk votes under its previous incarnation.
 */
#define N 3
#define MAXTERM 3
#define MAXLOG 2
#define QUORUM(x) ((x) >= 2)

byte term[N], voted[N];          /* voted: candidate + 1, or 0 for none */
bool leader[N], member[N];       /* member: a voter under its current incarnation */
byte length[N];
byte entry[N * MAXLOG];          /* term of each log entry */
byte votes[N];
byte leaderOf[MAXTERM + 1];      /* node + 1 that was elected in the term, or 0 */
byte committed, committedTerm;   /* index of the last committed entry and its term */
bool diskLost;

#define AT(n, i) entry[(n) * MAXLOG + (i)]
#define LASTTERM(n) (length[n] == 0 -> 0 : AT(n, length[n] - 1))
#define CURRENT(c, n) (LASTTERM(c) > LASTTERM(n) || (LASTTERM(c) == LASTTERM(n) && length[c] >= length[n]))
#define SAMELOG(l, f) (length[l] == length[f] && LASTTERM(l) == LASTTERM(f))
#define HOLDS(n) (committed == 0 || (length[n] >= committed && AT(n, committed - 1) == committedTerm))

#ifdef BREAK_IDENTITY
#define KNOWN(v) true
#else
#define KNOWN(v) member[v]
#endif
#ifdef BREAK_LOG
#define MAYVOTE(c, v) (voted[v] == 0 && KNOWN(v))
#else
#define MAYVOTE(c, v) (voted[v] == 0 && KNOWN(v) && CURRENT(c, v))
#endif

inline stepDown(n, t) { term[n] = t; voted[n] = 0; leader[n] = false; votes[n] = 0 }

inline campaign(n) {
    if
    :: member[n] && !leader[n] && term[n] < MAXTERM ->
        stepDown(n, term[n] + 1); voted[n] = n + 1; votes[n] = 1
    :: else
    fi
}

inline askVote(c, v) {
    if
    :: voted[c] == c + 1 && !leader[c] && votes[c] > 0 && c != v && term[v] <= term[c] ->
        if :: term[v] < term[c] -> stepDown(v, term[c]) :: else fi;
        if
        :: MAYVOTE(c, v) ->
            voted[v] = c + 1; votes[c]++;
            if
            :: QUORUM(votes[c]) ->
                leader[c] = true;
                assert(leaderOf[term[c]] == 0 || leaderOf[term[c]] == c + 1);
                leaderOf[term[c]] = c + 1;
                assert(HOLDS(c))
            :: else
            fi
        :: else
        fi
    :: else
    fi
}

inline propose(n) {
    if
    :: leader[n] && length[n] < MAXLOG -> AT(n, length[n]) = term[n]; length[n]++
    :: else
    fi
}

/* The leader sends its whole log; the follower replaces its own and syncs; an entry on a quorum is committed. */
inline replicate(l, f) {
    if
    :: leader[l] && l != f && term[f] <= term[l] && length[l] > 0 ->
        if :: term[f] < term[l] -> stepDown(f, term[l]) :: else fi;
        votes[f] = 0;       /* a candidate steps down when it receives from the leader of its term */
        i = 0;
        do
        :: i < length[l] -> AT(f, i) = AT(l, i); i++
        :: else -> break
        od;
        do
        :: i < MAXLOG -> AT(f, i) = 0; i++
        :: else -> break
        od;
        length[f] = length[l];
        if
        :: member[f] && AT(l, length[l] - 1) == term[l] && length[l] >= committed ->
            committed = length[l]; committedTerm = term[l]
        :: else
        fi
    :: else
    fi
}

/* A node that lost its disk becomes a voter again only when it holds the leader's log and the other voter has
 * acknowledged the leader's entries in the leader's term. */
inline readmit(l, f) {
    if
    :: leader[l] && !member[f] && l != f && member[3 - l - f] && term[3 - l - f] == term[l] && term[f] == term[l] && LASTTERM(l) == term[l] && SAMELOG(l, f) && SAMELOG(l, 3 - l - f) -> member[f] = true
    :: else
    fi
}

inline crash(n) {
    leader[n] = false; votes[n] = 0;
#ifdef BREAK_SYNC
    voted[n] = 0
#endif
}

inline loseDisk(n) {
    if
    :: !diskLost && !leader[n] ->
        diskLost = true;
        term[n] = 0; voted[n] = 0; votes[n] = 0; member[n] = false; length[n] = 0;
        i = 0;
        do
        :: i < MAXLOG -> AT(n, i) = 0; i++
        :: else -> break
        od
    :: else
    fi
}

active proctype world()
{
    byte a, b, i;
    d_step { member[0] = true; member[1] = true; member[2] = true }
    do
    :: atomic {
        select(a : 0 .. 2); select(b : 0 .. 2);
        if
        :: true -> campaign(a)
        :: true -> askVote(a, b)
        :: true -> propose(a)
        :: true -> replicate(a, b)
        :: true -> readmit(a, b)
        :: true -> crash(a)
        :: true -> loseDisk(a)
        fi;
        a = 0; b = 0; i = 0
       }
    od
}
