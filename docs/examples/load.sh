#!/usr/bin/env bash
# Sends a load of two teams, three routes and a short surge to one stand-in
# target.
set -u
target=127.0.0.1:7602
bergamotloom standin target --service stock --listen $target --slots 10 --work-millis 20 >/dev/null &
sleep 0.5
bergamotloom load --node $target --plan "$(dirname "$0")/load.yaml"
kill $!
wait
