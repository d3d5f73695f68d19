#!/usr/bin/env bash
# Workers of one fabric domain lose the store, and the path to one of four entry VMs, silently for 10 s;
# rule TWO is judged.
cd "$(dirname "$0")/../.."
[ -x target/review-3/cases ] && [ -x target/release/mangocross-front ] || exit 2
exec target/review-3/cases review/12/record.txt silent
