#!/bin/bash
# Builds the stand-ins of the cases into target/. A stand-in is the files of its case, which have names of the platform's protocol
# and therefore no name that ends in .go.
set -eu
cd "$(dirname "$0")/.."
for case in review/[0-9]*/; do
	n=$(basename "$case")
	[ -f "review/$n/main.go.txt" ] || continue
	mkdir -p "target/_review/$n"
	rm -f "target/_review/$n/"*.go
	for f in "review/$n/"*.go.txt; do
		cp "$f" "target/_review/$n/$(basename "$f" .txt)"
	done
	go build -o "target/review-$n" "./target/_review/$n"
done
