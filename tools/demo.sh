#!/usr/bin/env bash
# Starts a small system on loopback, serves requests end to end, prints the figures and stops all processes.
# Two failure domains with one entry each, three control VMs, one store, four fake engines and two fake services.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/release
run=$(mktemp -d)
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
token=demo-operator-token
key=demo-key
pids=()

stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap 'stop_all; rm -rf "$run"' EXIT

# Address of VM number N of this demo: address N PORT
address() { echo "$net.$1:$2"; }
hash_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

process_part() { # NAME DOMAIN
    cat <<EOF
  "process": { "name": "$1", "failureDomain": "$2", "dataFolder": "$run/$1", "logFile": "$run/$1.log",
               "traceFile": "$run/$1.trace", "clusterSecret": "demo-secret" }
EOF
}

control_settings() { # N DOMAIN
    local peers="" other
    for other in 1 2 3; do
        [ "$other" = "$1" ] || peers+="{ \"name\": \"control-$other\", \"address\": \"$(address $((10 + other)) 7000)\" },"
    done
    cat <<EOF
{
$(process_part "control-$1" "$2"),
  "control": { "address": "$(address $((10 + $1)) 7000)", "peers": [${peers%,}],
               "operators": [{ "name": "demo", "tokenHash": "$(hash_of $token)" }] }
}
EOF
}

entry_settings() { # N DOMAIN
    local other=$((3 - $1))
    cat <<EOF
{
  // one entry VM of failure domain $2
$(process_part "entry-$1" "$2"),
  "entry": { "callerAddress": "$(address $((20 + $1)) 8000)", "targetAddress": "$(address $((20 + $1)) 8001)",
             "peerAddress": "$(address $((20 + $1)) 8002)",
             "peers": [{ "name": "entry-$other", "address": "$(address $((20 + other)) 8002)" }],
             "control": ["$(address 11 7000)", "$(address 12 7000)", "$(address 13 7000)"],
             "stores": ["$(address 31 7100)"] }
}
EOF
}

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$run/$name.out" 2>&1 &
    pids+=($!)
}

wait_until() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ $SECONDS -ge $end ]; then
            echo "demo: gave up waiting for: $*" >&2
            tail -n 5 "$run"/*.out "$run"/*.log >&2 || true
            exit 1
        fi
        sleep 0.1
    done
}

for n in 1 2 3; do
    control_settings $n "$([ $n = 2 ] && echo west || echo east)" >"$run/control-$n.json"
    start "control-$n" $bin/packages/plumfoldd/plumfoldd --settings "$run/control-$n.json"
done
cat >"$run/store-1.json" <<EOF
{
$(process_part store-1 east),
  "store": { "address": "$(address 31 7100)", "blockAddress": "$(address 31 7101)", "memoryBytes": 67108864 }
}
EOF
start store-1 $bin/packages/plumfoldd/plumfoldd --settings "$run/store-1.json"
entry_settings 1 east >"$run/entry-1.json"
entry_settings 2 west >"$run/entry-2.json"
for n in 1 2; do start "entry-$n" $bin/packages/plumfoldd/plumfoldd --settings "$run/entry-$n.json"; done
for n in 1 2 3 4; do
    domain=$([ $((n % 2)) = 1 ] && echo east || echo west)
    start "engine-$n" $bin/tests/plumfold_fake_engine --name "engine-$n" --address "$(address $((40 + n)) 9000)" \
        --failure-domain "$domain" --entry "$(address $((22 - n % 2)) 8001)" --cold-requests 2 --cache-blocks 64
done
for n in 1 2; do
    start "service-$n" $bin/tests/plumfold_fake_service --name "orders-$n" --address "$(address $((50 + n)) 9000)" \
        --failure-domain "$([ $n = 1 ] && echo east || echo west)" --entry "$(address $((20 + n)) 8001)" --service orders
done

export PLUMFOLD_CONTROL="$(address 11 7000),$(address 12 7000),$(address 13 7000)" PLUMFOLD_TOKEN=$token
plumfold=$bin/packages/plumfold/plumfold
wait_until 10 $plumfold control form "$(address 11 7000)"
$plumfold failure-domain put east
$plumfold failure-domain put west
$plumfold model put base
$plumfold version put base v1
$plumfold service put orders
$plumfold customer put espuma --key $key --model base,orders --max-in-flight 32
ready() { curl -fs "http://$1/readyz" | grep -q '"ready":true.*"revision":6.*"targets":6'; }
for n in 1 2; do wait_until 10 ready "$(address $((20 + n)) 8000)"; done

echo "== completions of multi-turn conversations"
$plumfold load --entry "$(address 21 8000),$(address 22 8000)" --key $key --model base --requests 200 --concurrency 8 \
    --conversations 40 --record "$run/record" --retry
$bin/tests/plumfold_fake_verify "$run/record" v1

echo "== an order that is sent twice, through two entries, runs once"
for n in 1 2; do
    curl -fsS -X POST "http://$(address $((20 + n)) 8000)/v1/services/orders/new" -H "Authorization: Bearer $key" \
        -H 'Idempotency-Key: pallet-17' -d '{"pallets":2}'
    echo
done

echo "== failure domain west is taken out of service and put back under load"
$plumfold load --entry "$(address 21 8000),$(address 22 8000)" --key $key --model base --requests 400 --concurrency 6 \
    --conversations 40 --record "$run/record" --retry >"$run/load.out" &
load=$!
sleep 0.5
$plumfold failure-domain put west --in-service false
sleep 1.5
$plumfold failure-domain put west
wait $load
cat "$run/load.out"
$bin/tests/plumfold_fake_verify "$run/record" v1

echo "== trace of one request as a span tree"
$plumfold trace "$run/entry-1.trace" | tail -n 4
echo "== usage"
wait_until 10 bash -c "$plumfold usage | grep -q espuma"
$plumfold usage

echo "== stopping"
failed=0
for pid in "${pids[@]}"; do kill -TERM "$pid"; done
for pid in "${pids[@]}"; do wait "$pid" || failed=1; done
pids=()
[ $failed = 0 ] || { echo "demo: a process did not stop cleanly" >&2; exit 1; }
echo "demo: all processes stopped"

echo "== the forwarding path of the users' platform"
$bin/tests/plumfold_forwarding_demo
