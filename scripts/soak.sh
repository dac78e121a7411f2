#!/usr/bin/env bash
# Real processes under random faults from seeds, checked from what callers and targets saw: the native
# program, then the program of the users' platform.
# Usage: scripts/soak.sh [--seeds A..B | --minutes M]; the default is one fresh seed.
# A seed that fails is printed with the command that plays it again; its logs are kept.
set -euo pipefail
cd "$(dirname "$0")/.."
usage() { sed -n '2,5s/^# //p' "$0"; exit "$1"; }
play() {
  local failed=0
  SYCAMORE_SEEDS="$1" cargo test --locked -q -p sycamore-bench --test history_process -- \
    history_rules_hold_under_process_faults --nocapture || failed=1
  SYCAMORE_SEEDS="$1" cargo test --locked -q -p sycamore-platform --test promises -- \
    promises_hold_under_process_faults --nocapture || failed=1
  return "$failed"
}
case "${1:-}" in
  -h | --help) usage 0 ;;
  --seeds)
    [ $# -eq 2 ] || usage 2
    play "$2"
    ;;
  --minutes)
    [ $# -eq 2 ] || usage 2
    end=$((SECONDS + $2 * 60))
    failed=0
    while [ "$SECONDS" -lt "$end" ]; do
      seed=$((RANDOM * 32768 + RANDOM))
      play "$seed..$((seed + 1))" || { failed=1; echo "again: scripts/soak.sh --seeds $seed..$((seed + 1))"; }
    done
    exit "$failed"
    ;;
  "")
    seed=$((RANDOM * 32768 + RANDOM))
    play "$seed..$((seed + 1))"
    ;;
  *) usage 2 ;;
esac
