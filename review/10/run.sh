#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
REVIEW_FOLDER=$(mktemp -d) || exit 2
export REVIEW_FOLDER
trap 'rm -rf "$REVIEW_FOLDER"' EXIT
if [ ! -x target/review-2/review-2 ] || [ ! -x target/release/mangocross-front ]; then
  echo "build the program and run review/build-2.sh first"
  exit 2
fi
target/review-2/review-2 unread "$here/record.txt"
