#!/usr/bin/env bash
# Builds the stand-in of the third review's scripts. It has no dependencies and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-3 cargo build --release --offline --locked --manifest-path review/standin-3/Cargo.toml
