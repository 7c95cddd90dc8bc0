/* Requests that may not be repeated: one shard of claims, two owners that follow
 * each other, and two entries that send the same key. docs/MODEL.md maps it to
 * the code.
 *
 * Owners append records to numbered slots that are written only if empty; the
 * answer of a write may be lost. The first owner may be paused past its lease at
 * any step. The property is the assertion at the service: one key has at most
 * one effect.
 *
 * Variants, each with one mechanism removed, must fail:
 *   -DOVERWRITE   a slot is written whether or not it is empty
 *   -DSEND_UNSURE an entry sends although its claim had no answer
 *
 * -DNO_TAKEOVER, in which the next owner writes no slot when it opens, holds too:
 * that slot is not what makes claims safe. It lets a former owner lose the race
 * for a slot, instead of the next one, which would close its shard for nothing. */

#define SLOTS 5
#define EMPTY 255
#define TAKEOVER 254

byte slot[SLOTS];          /* the attempt whose claim is written, or EMPTY, TAKEOVER */
byte effects = 0;

chan ask0 = [0] of { byte };
chan ask1 = [0] of { byte };
chan reply[2] = [1] of { bool, bool };   /* sure, fresh */

/* write appends a record to the owner's next slot; won tells that it is there. */
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
          :: sure = false                  /* the answer is lost */
          fi
#ifndef OVERWRITE
       :: slot[next] != EMPTY -> won = false; sure = true
#endif
       fi;
       /* a lost answer is asked again: the slot holds the own value */
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
  /* open: read the slots, then take the next one */
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

/* An entry asks whichever process it thinks owns the shard; it may give up. */
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
