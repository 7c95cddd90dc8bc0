/* Orders to one backend server: the agent's record, its fencing token and its
 * memory ledger. docs/MODEL.md maps processes and messages to the code.
 *
 * Two agents, of which either may be paused at any step, order loads and unloads
 * of two models on an accelerator with memory for one. Orders may be lost or
 * arrive late. The property is the assertion in the engine: memory is never
 * overcommitted.
 *
 * Variants, each with one mechanism removed, must fail:
 *   -DNO_INTENTS  the next agent ignores what the record says is outstanding
 *   -DNO_RECORD   an order is sent without writing its intent first
 *   -DOLD_REPORT  a report from before taking over counts as current
 * With -DCHECKED the engine refuses orders with an old fencing token. */

#define ORDERS 4
#define MODELS 2
#define CAPACITY 1
#define BIT(i) (1 << (i))

/* States of an order. */
#define FREE 0
#define RECORDED 1
#define ONITSWAY 2
#define FINISHED 3
#define LOST 4

byte state[ORDERS];
bool isload[ORDERS];
byte model[ORDERS];
byte fenceof[ORDERS];

/* The engine. */
byte loaded = 0;     /* models that hold memory, as bits */
byte used = 0;
byte highest = 0;    /* highest fencing token seen */
byte finished = 0;   /* orders listed as finished, as bits */

/* The record in the key-value service. */
byte owner = 255;
byte intents = 0;    /* orders that may still take effect, as bits */
byte fence = 0;

inline popcount(v, n) { n = ((v) & 1) + (((v) >> 1) & 1) }

active proctype Engine() {
  byte i;
  do
  :: atomic {
       select(i : 0 .. (ORDERS - 1));
       if
       :: state[i] == ONITSWAY ->
          if
          :: true -> state[i] = LOST
          :: true ->
#ifdef CHECKED
             if
             :: fenceof[i] < highest -> state[i] = FINISHED; goto next
             :: else -> highest = fenceof[i]
             fi;
#endif
             if
             :: isload[i] && !(loaded & BIT(model[i])) ->
                used++;
                assert(used <= CAPACITY);
                loaded = loaded | BIT(model[i])
             :: !isload[i] && (loaded & BIT(model[i])) ->
                used--;
                loaded = loaded & ~BIT(model[i])
             :: else -> skip
             fi;
             state[i] = FINISHED;
             finished = finished | BIT(i)
          fi
       :: else -> skip
       fi;
next:  skip
     }
  od
}

proctype Agent(byte self) {
  byte mine = 0;        /* intents in the ledger, as bits */
  byte seen = 0;        /* residents of the last report, as bits */
  byte token = 0;
  byte i, m, n, pendingLoads;
  bool armed = false, current = false;
  do
  :: atomic { !armed ->                       /* take the record over */
       owner = self; fence++; token = fence; armed = true;
#ifdef NO_INTENTS
       mine = 0;
#else
       mine = intents;
#endif
#ifndef OLD_REPORT
       current = false
#endif
     }
  :: atomic {                                 /* settle with a report */
       seen = loaded; current = true;
       mine = mine & ~finished;
       i = 0;
       do
       :: i < ORDERS ->
          /* after its lifetime a lost order can no longer arrive */
          if :: state[i] == LOST -> mine = mine & ~BIT(i) :: else fi;
          i++
       :: else -> break
       od
     }
  :: atomic { armed && current ->             /* reserve and record */
       select(m : 0 .. (MODELS - 1));
       i = 0;
       do
       :: i < ORDERS && state[i] != FREE -> i++
       :: else -> break
       od;
       if
       :: i == ORDERS -> goto done
       :: else
       fi;
       /* loads in the ledger that the report does not show */
       n = 0; pendingLoads = 0;
       do
       :: n < ORDERS ->
          if
          :: (mine & BIT(n)) && model[n] == m -> goto skipped   /* busy */
          :: (mine & BIT(n)) && model[n] != m && isload[n] && !(seen & BIT(model[n])) -> pendingLoads++
          :: else
          fi;
          n++
       :: else -> break
       od;
       popcount(seen, n);
       if
       :: !(seen & BIT(m)) && n + pendingLoads + 1 <= CAPACITY -> isload[i] = true
       :: (seen & BIT(m)) -> isload[i] = false
       :: else -> goto skipped
       fi;
       model[i] = m; fenceof[i] = token;
#ifndef NO_RECORD
       if
       :: owner != self -> goto done          /* superseded */
       :: else
       fi;
#endif
       state[i] = RECORDED;
       mine = mine | BIT(i);
       intents = mine
     }
     /* a pause may come here, however long */
     atomic { state[i] = ONITSWAY }
skipped: skip
  od;
done: skip
}

init { atomic { run Agent(0); run Agent(1) } }
