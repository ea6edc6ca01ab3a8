#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the second review, without a network. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stands-2/Cargo.toml --target-dir target/review-2
