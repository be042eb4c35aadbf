#!/usr/bin/env bash
# Builds the stand-ins of the script cases of the third review (folders 11 to 15), with the standard
# library alone. The project's programs are built by the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-3/case-$number" "$source"
done
