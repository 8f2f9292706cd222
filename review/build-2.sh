#!/usr/bin/env bash
# Builds the stand-ins and cases of the second independent review. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --locked --manifest-path harness-2/Cargo.toml
