#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Build first: the build of the deploy
# file, then review/build-3.sh.
set -u
cd "$(dirname "$0")/../.."
exec timeout 110 target/review-3/standin-3 poison review/15/record.txt
