#!/usr/bin/env bash
# First configuration of Espuma Nordeste: four failure domains, 20 model workers and 4 shop workers announce themselves.
# Set PLUMFOLD_CONTROL and PLUMFOLD_TOKEN first.
set -euo pipefail
plumfold control form 10.1.1.10:7000
for domain in zone-a zone-b zone-c zone-d; do
    plumfold failure-domain put $domain --max-concurrent-loads 3
done
plumfold model put contracts
plumfold version put contracts v1
plumfold service put shop
plumfold customer put reps --key "$REPS_KEY" --model contracts --weight 2
plumfold customer put barbers --key "$BARBERS_KEY" --model shop
