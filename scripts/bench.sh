#!/usr/bin/env bash
# Measures the call path or the spread of versions; the last line is one JSON object.
# Usage: scripts/bench.sh latency|overload|call-slopes|convergence|bytes|slopes [options]
set -euo pipefail
cd "$(dirname "$0")/.."
case "${1:-}" in
  "" | -h | --help)
    echo "Usage: scripts/bench.sh latency|overload|call-slopes|convergence|bytes|slopes [options]"
    [ -n "${1:-}" ] || exit 2
    ;;
  latency | overload | call-slopes)
    cargo build --release --locked --workspace --bins
    exec target/release/sycamore-bench-calls "$@"
    ;;
  *)
    exec cargo run --release --locked -p sycamore-bench --bin sycamore-fleet -- "$@"
    ;;
esac
