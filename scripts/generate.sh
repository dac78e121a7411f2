#!/usr/bin/env bash
# Generates node/src/spread/spread_capnp.rs from the schema. Needs `capnp` and `capnpc-rust` on
# the PATH; the build itself needs neither, since the generated code is committed.
set -euo pipefail
cd "$(dirname "$0")/../node"
capnp compile -orust:src/spread --src-prefix=schema schema/spread.capnp
rustfmt --edition 2024 src/spread/spread_capnp.rs
