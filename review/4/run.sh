#!/usr/bin/env bash
# See claim.txt. Exit codes: 1 broken, 0 held, 2 could not run. TROUBLE=0: no engine is slow.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] || exit 2
exec target/review/harness early-head review/4
