#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the program of the deploy file: the
# command that plays the cases, and the project's stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/trial ./review/_trial2
go build -o target/review-2/standin ./standin
