#!/usr/bin/env bash
# Builds the driver of the scripts with its stand-ins (clients, servers and the
# platform). The folder _harness is not part of the packages ./... of the module.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness ./review/_harness
