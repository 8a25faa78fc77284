#!/usr/bin/env bash
# Builds the program that plays the cases of the second review, with the stand-ins that they start. It needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standins-2/main.rs
