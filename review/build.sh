#!/bin/sh
# Builds the stand-ins and the cases of the review into target/review/. Run it
# at any place, after the build command of deploy/system.toml.
set -eu

cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
for case in review/*/case.c
do
	name=$(basename "$(dirname "$case")")
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O1 -Wall -Wextra -pthread -Ireview/harness \
		-o "$out/case-$name" "$case" review/harness/*.c
done
