#!/usr/bin/env bash
# Shows the fault that claim.txt tells. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
source "$(dirname "$0")/../stand-ins-3/system.sh"
start_system supervised
run_case case-11
