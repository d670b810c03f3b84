/* KV blocks: one memory slot, a writer, a reader, and the store that frees and reuses the slot. A lease carries the
 * block number, which is never reused. The reader may pause beyond the end of its lease.
 *
 * Property: an accepted read returns the complete bytes of the leased block.
 * BREAK_NUMBER: the store checks the slot instead of the block number.
 * BREAK_SEAL: blocks are leased before they are sealed.
 */
#define MAXBLOCK 3
byte block = 1;         /* number of the block in the slot */
byte bytes;             /* number of the block whose bytes are in the slot, or 0 while they are being written */
bool sealed, leased;

proctype writer()
{
    do
    :: atomic { !sealed && bytes == 0 -> bytes = block; sealed = true }
    :: block >= MAXBLOCK && sealed -> break
    od
}

proctype reader()
{
    byte mine;
    do
#ifdef BREAK_SEAL
    :: atomic { !leased -> leased = true; mine = block };
#else
    :: atomic { sealed && !leased -> leased = true; mine = block };
#endif
        do
        :: atomic {
#ifdef BREAK_NUMBER
            sealed ->
#else
            (leased && mine == block) ->
#endif
            assert(bytes == mine) }
        :: break
        od;
        if :: atomic { leased && mine == block -> leased = false } :: skip fi
    :: block >= MAXBLOCK -> break
    od
}

/* Expires leases and reuses the slot for the next block. */
proctype store()
{
    do
    :: leased -> leased = false
    :: atomic { sealed && !leased && block < MAXBLOCK -> sealed = false; bytes = 0; block++ }
    :: block >= MAXBLOCK -> break
    od
}

init { atomic { run writer(); run reader(); run store() } }
