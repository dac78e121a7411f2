#!/usr/bin/env bash
# Builds everything, then runs a deployment under load and faults and checks what came of it.
# Usage: scripts/demo.sh [franchise-office|cooperative]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --workspace --bins
exec target/release/sycamore-demo "$@"
