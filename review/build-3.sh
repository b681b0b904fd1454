#!/bin/sh
# Builds what the scripts of the third review start beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/standin ./standin
go build -o target/review-3/cases ./review/_cases3
go build -o target/review-3/engine ./review/_engine3
