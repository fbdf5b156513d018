#!/bin/sh
# Builds the program of the stand-ins, which all cases use: the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/lab review/standin/main.rs
