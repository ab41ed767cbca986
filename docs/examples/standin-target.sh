#!/usr/bin/env bash
# Starts one stand-in target, asks it, changes its behaviour, and lets it crash.
set -u
target=127.0.0.1:7601
bergamotloom standin target --service stock --listen $target --slots 4 --work-millis 20 --crash-mark crash &
sleep 0.5

echo "# An answer of 100,000 bytes, with its checksum as trailer"
curl -s -D - -o /dev/null -H 'Standin-Marker: first' "$target/stock/12?bytes=100000"
echo "# What was recorded of it"
curl -s $target/standin/runs
echo "# Two slots, no backlog, slower work and a load report that is stuck"
curl -s -X PUT -d '{"Slots":2,"Backlog":0,"WorkMillis":200,"Report":"Stuck"}' $target/standin/traits
curl -s $target/loom/load
curl -s -o /dev/null "$target/stock/1" & curl -s -o /dev/null "$target/stock/2" &
sleep 0.1
echo "# The third one is shed"
curl -s -i "$target/stock/3"
curl -s $target/loom/load
echo "# Draining, and a request that ends the process"
curl -s -X POST $target/standin/drain
curl -s $target/standin/state
sleep 0.3
curl -s "$target/stock/4?crash"
wait %1
echo "exit code $?"
