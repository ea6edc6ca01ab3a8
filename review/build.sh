#!/bin/bash
# Builds the stand-ins of the cases with the tool chain's compiler, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/case_*.rs; do
    rustc --edition 2021 -O -o "target/review/$(basename "$source" .rs)" "$source"
done
