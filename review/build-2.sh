#!/bin/bash
# Builds the programs of the cases of the second review: target/review-N for each review/N with a program.
set -e
cd "$(dirname "$0")/.."
for n in 4 5 6 7 8; do
	[ -f "review/$n/case.go.txt" ] || continue
	rm -rf "target/_review/$n"
	mkdir -p "target/_review/$n"
	cp "review/$n/case.go.txt" "target/_review/$n/case.go"
	cp review/world-2/world.go.txt "target/_review/$n/world.go"
	go build -o "target/review-$n" "./target/_review/$n"
done
