/* Table versions: two operators save edits by compare-and-swap of one head, whose
 * answers may be lost, and two processes take versions from the service or from
 * each other, at times old ones. docs/MODEL.md maps it to the code.
 *
 * Properties: an edit is in the record at most once; one that was told as saved
 * is in it; no process ever goes back to a lower version.
 *
 * Variants, each with one mechanism removed, must fail:
 *   -DNO_ID       an operator that got no answer saves again without looking
 *   -DNO_SWAP     the head is written without comparing its revision
 *   -DNO_COMPARE  a process takes over whatever version it is offered */

#define EDITS 2
byte version = 0;           /* the head: its version stands for its revision too */
byte holds[EDITS];          /* how often each edit is in the record */
byte has[2];                /* versions of the processes */

chan wire[2] = [2] of { byte };   /* versions on their way to each process */

proctype Operator(byte edit) {
  byte seen, tries = 0;
  bool known;
again:
  atomic {                                   /* load the head */
    seen = version;
#ifndef NO_ID
    if
    :: holds[edit] > 0 -> goto saved
    :: else
    fi
#endif
  }
  atomic {                                   /* compare and swap */
#ifdef NO_SWAP
    if
    :: true ->
#else
    if
    :: version == seen ->
#endif
       version = seen + 1;
       holds[edit]++;
       assert(holds[edit] <= 1);
#ifdef NO_SWAP
       /* a write over another's forgets the edit that the other has told as saved */
       if
       :: holds[1 - edit] > 0 && seen == 0 -> holds[1 - edit] = 0
       :: else
       fi;
#endif
       if
       :: known = true
       :: known = false                      /* the answer is lost */
       fi
#ifndef NO_SWAP
    :: version != seen -> known = false
#endif
    fi
  }
  if
  :: known -> goto saved
  :: !known && tries < 2 -> tries++; goto again
  :: else -> goto unknown
  fi;
saved:
  assert(holds[edit] == 1);
unknown: skip
}

/* A process reads the service, or is sent a version by its peer, possibly old. */
proctype Process(byte self) {
  byte got, before, steps = 0;
  do
  :: steps < 3 ->
     steps++;
     if
     :: got = version                         /* from the service */
     :: wire[self] ? got                      /* from the peer */
     :: wire[1 - self] ! has[self]; got = 0   /* to the peer */
     :: steps = steps
     fi;
     atomic {
       before = has[self];
#ifdef NO_COMPARE
       if :: got > 0 -> has[self] = got :: else fi;
#else
       if :: got > has[self] -> has[self] = got :: else fi;
#endif
       assert(has[self] >= before)
     }
  :: else -> break
  od
}

init { atomic { run Operator(0); run Operator(1); run Process(0); run Process(1) } }
