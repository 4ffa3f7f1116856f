#!/bin/sh
# Builds the programs of the second review's scripts, after the build of the deploy file. Needs rustc alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$case"
done
