#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/persimmonmux ] && [ -x target/review-2/trial ] && [ -x target/review-2/standin ] || { echo "not built: run the build of deploy/system.toml and review/build-2.sh" >&2; exit 2; }
exec target/review-2/trial callers target/review-2 review/10/record.txt
