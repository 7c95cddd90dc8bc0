/* At-most-once execution of non-idempotent requests: one shard of claims, two
 * successive owners, and two entries that send the same key. docs/MODEL.md maps
 * the model to the code.
 *
 * Owners append records to numbered slots, which are written only if empty. The
 * response to a write may be lost. The first owner may be paused at any step for
 * longer than its lease. The property is the assertion in Entry: a key has at
 * most one effect.
 *
 * Variants, each with one mechanism removed, must fail:
 *   -DOVERWRITE   a slot is written even if it is not empty
 *   -DSEND_UNSURE an entry sends although its claim had no response
 *
 * -DNO_TAKEOVER, in which an owner writes no slot when it opens the shard, holds
 * as well: safety does not depend on that slot. It makes a former owner lose the
 * race for the next slot, so that the new owner does not close its shard
 * needlessly. */

#define SLOTS 5
#define EMPTY 255
#define TAKEOVER 254

byte slot[SLOTS];          /* the attempt whose claim is stored, or EMPTY or TAKEOVER */
byte effects = 0;

chan ask0 = [0] of { byte };
chan ask1 = [0] of { byte };
chan reply[2] = [1] of { bool, bool };   /* sure: the outcome is known; fresh: the claim is new */

/* Appends a record to the owner's next slot; won is true if it is stored. */
inline write(value) {
  atomic {
    if
    :: next >= SLOTS -> won = false; sure = true
    :: else ->
       if
#ifdef OVERWRITE
       :: true ->
#else
       :: slot[next] == EMPTY ->
#endif
          slot[next] = value; won = true;
          if
          :: sure = true
          :: sure = false                  /* the response is lost */
          fi
#ifndef OVERWRITE
       :: slot[next] != EMPTY -> won = false; sure = true
#endif
       fi;
       /* after a lost response the slot is read: it holds the owner's value */
       if
       :: !sure && next < SLOTS && slot[next] == value -> sure = true
       :: else
       fi;
       next++
    fi
  }
}

proctype Owner(byte self) {
  byte next = 0, i, attempt;
  bool claimed = false, won, sure;
  /* open the shard: read the slots, then claim the next one */
  atomic {
    i = 0;
    do
    :: i < SLOTS && slot[i] != EMPTY ->
       if :: slot[i] < 2 -> claimed = true :: else fi;
       i++
    :: else -> break
    od;
    next = i
  }
#ifndef NO_TAKEOVER
  write(TAKEOVER);
  if
  :: !won -> goto closed
  :: else
  fi;
#endif
  do
  :: if
     :: self == 0 -> ask0 ? attempt
     :: self == 1 -> ask1 ? attempt
     fi;
     if
     :: claimed -> reply[attempt] ! true, false
     :: else ->
        write(attempt);
        if
        :: won && sure -> claimed = true; reply[attempt] ! true, true
        :: won && !sure -> claimed = true; reply[attempt] ! false, false
        :: !won -> reply[attempt] ! false, false; goto closed
        fi
     fi
  od;
closed:
  do
  :: self == 0 -> ask0 ? attempt; reply[attempt] ! false, false
  :: self == 1 -> ask1 ? attempt; reply[attempt] ! false, false
  od
}

/* An entry sends its claim to either owner, and sends the request only if the
 * claim is known to be new. */
proctype Entry(byte self) {
  bool sure, fresh;
  if
  :: ask0 ! self
  :: ask1 ! self
  fi;
  reply[self] ? sure, fresh;
  if
  :: sure && fresh -> atomic { effects++; assert(effects <= 1) }
#ifdef SEND_UNSURE
  :: !sure -> atomic { effects++; assert(effects <= 1) }
#endif
  :: else -> skip
  fi
}

init {
  byte i = 0;
  atomic {
    do
    :: i < SLOTS -> slot[i] = EMPTY; i++
    :: else -> break
    od;
    run Owner(0); run Owner(1); run Entry(0); run Entry(1)
  }
}
