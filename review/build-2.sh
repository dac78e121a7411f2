#!/bin/sh
# Builds the stand-ins and clients of the second review. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/harness-2/main.rs
