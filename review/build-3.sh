#!/bin/sh
# Builds the stand-ins of the third review into target/review-3. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/standins review/standins-3/main.rs
