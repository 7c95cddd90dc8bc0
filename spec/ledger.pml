/* Orders to one backend server: the agent's record, its fencing token and its
 * memory ledger. docs/MODEL.md maps processes and messages to the code.
 *
 * Two agents order loads and unloads of two models on an accelerator with memory
 * for one model. Each agent may be paused at any step. Orders may be lost or
 * delayed. The property is the assertion in Engine: memory is never
 * overcommitted.
 *
 * Variants, each with one mechanism removed, must fail:
 *   -DNO_INTENTS  a new agent ignores the outstanding intents of the record
 *   -DNO_RECORD   an order is sent without recording its intent first
 *   -DOLD_REPORT  a report from before the takeover counts as current
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
byte loaded = 0;     /* bit set of the models that occupy memory */
byte used = 0;
byte highest = 0;    /* highest fencing token received */
byte finished = 0;   /* bit set of the finished orders */

/* The record in the key-value service. */
byte owner = 255;
byte intents = 0;    /* bit set of the orders that may still take effect */
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
  byte mine = 0;        /* bit set of the intents in the ledger */
  byte seen = 0;        /* bit set of the residents in the last report */
  byte token = 0;
  byte i, m, n, pendingLoads;
  bool armed = false, current = false;
  do
  :: atomic { !armed ->                       /* take over the record */
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
  :: atomic {                                 /* apply a report */
       seen = loaded; current = true;
       mine = mine & ~finished;
       i = 0;
       do
       :: i < ORDERS ->
          /* a lost order cannot arrive after its lifetime */
          if :: state[i] == LOST -> mine = mine & ~BIT(i) :: else fi;
          i++
       :: else -> break
       od
     }
  :: atomic { armed && current ->             /* reserve memory and record the intent */
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
       /* count loads in the ledger that the report does not include */
       n = 0; pendingLoads = 0;
       do
       :: n < ORDERS ->
          if
          :: (mine & BIT(n)) && model[n] == m -> goto skipped   /* an order for the model is outstanding */
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
     /* the agent may be paused here for any time */
     atomic { state[i] = ONITSWAY }
skipped: skip
  od;
done: skip
}

init { atomic { run Agent(0); run Agent(1) } }
