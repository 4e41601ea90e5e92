#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need no crate but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
