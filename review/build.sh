#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case_folder in review/[1-9]; do
    main=$case_folder/platform/main.rs
    if [ -f "$main" ]; then
        rustc --edition 2024 -O "$main" -o "target/review/case-$(basename "$case_folder")"
    fi
done
