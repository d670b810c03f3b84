#!/usr/bin/env bash
# Runs all benchmarks and prints their figures. docs/capacity.md explains how they are used.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/release
$bin/benchmarks/plumfold_bench_decisions
$bin/benchmarks/plumfold_bench_control | grep -v event=
$bin/benchmarks/plumfold_bench_streams | grep -v event=
$bin/benchmarks/plumfold_bench_placement
$bin/benchmarks/plumfold_bench_policy
$bin/benchmarks/plumfold_bench_forwarding

# The relay and watch benchmarks need a system: one control VM, one entry and one engine with negligible prefill time.
run=$(mktemp -d)
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
pids=()
stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap 'stop_all; rm -rf "$run"' EXIT
hash_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
cat >"$run/control.json" <<EOF
{ "process": { "name": "control-1", "failureDomain": "east", "dataFolder": "$run/control", "logFile": "$run/control.log",
               "clusterSecret": "bench-secret" },
  "control": { "address": "$net.1:7000", "operators": [{ "name": "bench", "tokenHash": "$(hash_of bench)" }] } }
EOF
cat >"$run/entry.json" <<EOF
{ "process": { "name": "entry-1", "failureDomain": "east", "logFile": "$run/entry.log", "clusterSecret": "bench-secret" },
  "entry": { "callerAddress": "$net.2:8000", "targetAddress": "$net.2:8001", "peerAddress": "$net.2:8002",
             "control": ["$net.1:7000"], "maxConnections": 512 } }
EOF
$bin/packages/plumfoldd/plumfoldd --settings "$run/control.json" & pids+=($!)
$bin/packages/plumfoldd/plumfoldd --settings "$run/entry.json" & pids+=($!)
entry=${pids[1]}
$bin/tests/plumfold_fake_engine --name e1 --address "$net.3:9000" --failure-domain east --entry "$net.2:8001" \
    --max-batch 400 --prefill-us 1 --token-us 5000 & pids+=($!)
export PLUMFOLD_CONTROL="$net.1:7000" PLUMFOLD_TOKEN=bench
plumfold=$bin/packages/plumfold/plumfold
for _ in $(seq 50); do $plumfold control form "$net.1:7000" >/dev/null 2>&1 && break; sleep 0.1; done
$plumfold failure-domain put east >/dev/null
$plumfold model put base >/dev/null
$plumfold version put base v1 >/dev/null
$plumfold customer put bench --key bench-key --model base --max-in-flight 400 --max-queued 400 >/dev/null
for _ in $(seq 100); do curl -fs "http://$net.2:8000/readyz" | grep -q '"revision":4.*"targets":1' && break; sleep 0.1; done
# Opens the slow-start window of the engine.
$plumfold load --entry "$net.2:8000" --key bench-key --model base --requests 1500 --concurrency 64 --max-tokens 1 \
    --prompt-bytes 100 --growth-bytes 0 >/dev/null
$bin/benchmarks/plumfold_bench_relay --entry "$net.2:8000" --engine "$net.3:9000" --key bench-key --entry-pid "$entry"
$bin/benchmarks/plumfold_bench_watch --control "$net.1:7000" --secret bench-secret --token bench --control-pid "${pids[0]}"
