#!/usr/bin/env bash
# Randomised runs of the ledger on the replicated log with fixed seeds. Guards against overspend,
# double bills, double runs, documents that revert and budgets that are not conserved.
set -euo pipefail
program=$1/figchute-random

for seed in 1 2 3 4 5 6 7 8 9 10; do
  deployment=ferreira
  [ $((seed % 2)) -eq 0 ] && deployment=goggle
  "$program" --seed "$seed" --deployment "$deployment"
done
echo "all randomised runs passed"

# Control commits reports of witnesses after the callers have stopped. The check that every member has
# what was acknowledged once read an entry that was acknowledged at the moment of the check.
"$1/figchute-random" --seed 211 --steps 250000 --deployment ferreira
