#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network and no library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
