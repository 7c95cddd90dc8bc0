/* Table versions: two operators save edits by compare-and-swap of one head; the
 * responses may be lost. Two processes receive versions, possibly old ones, from
 * the service or from each other. docs/MODEL.md maps the model to the code.
 *
 * Properties: an edit is in the record at most once; an edit that was reported as
 * saved is in the record; no process returns to a lower version.
 *
 * Variants, each with one mechanism removed, must fail:
 *   -DNO_ID       an operator without a response retries without a check by edit id
 *   -DNO_SWAP     the head is written without comparing its revision
 *   -DNO_COMPARE  a process accepts every version that it receives */

#define EDITS 2
byte version = 0;           /* version of the head, which also serves as its revision */
byte holds[EDITS];          /* number of times each edit is in the record */
byte has[2];                /* current version of each process */

chan wire[2] = [2] of { byte };   /* versions in transit to each process */

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
       /* overwriting the head loses the edit that the other operator saved */
       if
       :: holds[1 - edit] > 0 && seen == 0 -> holds[1 - edit] = 0
       :: else
       fi;
#endif
       if
       :: known = true
       :: known = false                      /* the response is lost */
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

/* A process receives versions from the service or from its peer, possibly old ones. */
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
