#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. The build line of the deploy file builds the program under review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/6 ./review/7 ./review/8 ./review/9 ./review/10
