#!/bin/bash
# Builds the programs of the cases of the second review: target/review-N for each review/N with a case.go.txt. A program is the files of its
# folder that end in .go.txt; world.go.txt, the stand-ins of the platform, is the same in all of them.
set -e
cd "$(dirname "$0")/.."
for n in 4 5 6 7 8; do
	[ -f "review/$n/case.go.txt" ] || continue
	rm -rf "target/_review/$n"
	mkdir -p "target/_review/$n"
	for f in "review/$n/"*.go.txt; do
		cp "$f" "target/_review/$n/$(basename "$f" .txt)"
	done
	go build -o "target/review-$n" "./target/_review/$n"
done
