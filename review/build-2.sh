#!/bin/sh
# Builds the programs of the cases of the second review into target/review-2/.
# Needs a C compiler only; the tier itself is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for case in review/[0-9]*/case-2.c; do
	[ -f "$case" ] || continue
	number=$(basename "$(dirname "$case")")
	${CC:-cc} -std=gnu11 -O1 -Wall -Wextra -pthread -Ireview/harness-2 \
		-o "$out/case-$number" "$case" review/harness-2/*.c -lm
done
