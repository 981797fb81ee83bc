#!/usr/bin/env bash
# Randomised runs with fixed seeds. Guards against a broken invariant, against output that differs
# between two runs of one seed, and against a check that cannot fail.
set -euo pipefail
program=$1/figchute-random

for seed in 1 2 3 4 5 6 7 8; do
  deployment=ferreira
  [ $((seed % 2)) -eq 0 ] && deployment=goggle
  "$program" --seed "$seed" --deployment "$deployment"
done

first=$("$program" --seed 11 --steps 50000)
second=$("$program" --seed 11 --steps 50000)
if [ "$first" != "$second" ]; then
  printf 'seed 11 gave two outputs:\n%s\n%s\n' "$first" "$second"
  exit 1
fi

# Each row: the invariant to break, the text that the violation must contain, a seed.
while read -r name expected seed; do
  if output=$("$program" --seed "$seed" --break "$name"); then
    echo "the broken invariant $name was not found with seed $seed"
    exit 1
  fi
  if ! grep -q "^violation seed=$seed step=[0-9]* $expected" <<<"$output"; then
    printf 'the broken invariant %s was reported as:\n%s\n' "$name" "$(head -1 <<<"$output")"
    exit 1
  fi
  if [ "$(wc -l <<<"$output")" -ne 51 ]; then
    echo "the violation of $name does not print the last 50 messages"
    exit 1
  fi
done <<'ROWS'
committed_entry committed_entry 1
acknowledged_entry acknowledged_entry 1
one_leader one_leader 3
sync committed_entry 1
ROWS
echo "all randomised runs passed"
