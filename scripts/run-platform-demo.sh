#!/usr/bin/env bash
# Starts stand-ins of the users' platform, endpoints and two forwarding entry processes on loopback,
# and stops them all on SIGINT or SIGTERM. FLAMINGOFRONT_DEMO_PORT moves the block of ports.
set -u
cd "$(dirname "$0")/.."
. scripts/demo-common.sh
base=${FLAMINGOFRONT_DEMO_PORT:-18180}
store=127.0.0.1:$((base + 10))

start store $bin/flamingofront-standin-store --bind $store --config examples/forwarding.json
wait_for "http://$store/api/rows-get?table=op"
n=0
for spec in "engine-1 engines zone-a" "engine-2 engines zone-b" "plain-1 records zone-a" "plain-2 records zone-b"; do
    set -- $spec
    start "$1" $bin/flamingofront-standin-endpoint --bind 127.0.0.1:$((base + 11 + n)) --store $store \
        --endpoint-id "$1" --service "$2" --zone "$3" --gap 0.2
    n=$((n + 1))
done
for n in 1 2; do
    settings=$logs/front-$n.conf
    cat >"$settings" <<END
node_name=front-$n
zone=zone-$([ $n = 1 ] && echo a || echo b)
ip=127.0.0.$n
listen.front=127.0.0.$n:$base
listen.ready=127.0.0.$n:$((base + 1))
listen.control=127.0.0.$n:$((base + 2))
port_range=$((base + 3)),$((base + 9))
seeds=127.0.0.1:$((base + 2)),127.0.0.2:$((base + 2))
bootstrap=true
platform.address=$store
cloud_api.address=$store
cloud_api.duties=usage,scaling
bounds.budget_slack=20
END
    start "front-$n" env FLAMINGOFRONT_BOOT="$settings" $bin/flamingofront-forward
done
wait_for "http://127.0.0.1:$((base + 1))/api/ready"
wait_for "http://127.0.0.2:$((base + 1))/api/ready"
echo "ready http://127.0.0.1:$base and http://127.0.0.2:$base (logs in $logs, engine-1 is process $pid_engine_1)"
wait
