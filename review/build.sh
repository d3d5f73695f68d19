#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.rs; do
    case_name=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O "$main" -o "target/review/case-$case_name"
done
