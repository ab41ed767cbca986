#!/usr/bin/env bash
# A server leaves while the store is down, and all processes are killed after that.
# Exits with 1 if requests reached the server too late, 0 if none did, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x target/bergamotloom && test -x target/review-2/standin-2 || { echo "run the build of deploy/system.toml and review/build-2.sh first" >&2; exit 2; }
timeout --signal=KILL 110 target/review-2/standin-2 forgotten-leave "$folder" target/bergamotloom
code=$?
test $code -le 2 || code=2
exit $code
