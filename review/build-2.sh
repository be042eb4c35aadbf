#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 8 with the compiler alone, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-2
mkdir -p "$OUT"
rustc --edition 2024 -O --crate-type rlib --crate-name stand_ins --out-dir "$OUT" review/stand_ins_2/lib.rs
for case in 6 7 8; do
    rustc --edition 2024 -O --extern stand_ins="$OUT/libstand_ins.rlib" -o "$OUT/case-$case" "review/$case/case.rs"
done
