#!/bin/bash
# Runs the case; TROUBLE=0 leaves its disruption out. Build first: the build of the deploy file, then review/build-2.sh.
cd "$(dirname "$0")/../.." && exec timeout -k 5 110 target/review-8 review/8/record.txt
