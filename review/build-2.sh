#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start: one program, from
# the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/play review/standin-2/main.rs
