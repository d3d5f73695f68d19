#!/usr/bin/env bash
# Workers of one fabric domain lose the store and refuse the entry VMs for 5.5 s; rule TWO is judged.
cd "$(dirname "$0")/../.."
[ -x target/review-3/cases ] && [ -x target/release/mangocross-front ] || exit 2
exec target/review-3/cases review/11/record.txt refused
