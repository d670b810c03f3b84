#!/usr/bin/env bash
# First configuration of Holræsafélagið Samvinna: four failure domains, 12 model workers and 4 round workers announce
# themselves. Set PLUMFOLD_CONTROL and PLUMFOLD_TOKEN first.
set -euo pipefail
plumfold control form 10.2.1.10:7000
for domain in zone-a zone-b zone-c zone-d; do
    plumfold failure-domain put $domain --max-concurrent-loads 2
done
plumfold model put histories
plumfold version put histories v1
plumfold service put rounds
plumfold customer put office --key "$OFFICE_KEY" --model histories
plumfold customer put crews --key "$CREWS_KEY" --model histories,rounds --weight 2
