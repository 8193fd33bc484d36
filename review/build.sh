#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
for case in review/[1-5]; do
  if [ -f "$case/main.go" ]; then
    go build -o "target/review-${case##*/}" "./$case"
  fi
done
