#!/usr/bin/env bash
# Runs the randomised simulation of the replicated log with fixed seeds, then with one invariant
# broken on purpose at a time. Guards against broken invariants of the log, against output that
# differs between two runs with the same seed, and against checks that never fail.
set -euo pipefail
program=$1/figchute-random

for seed in 1 2 3 4 5 6 7 8; do
  deployment=ferreira
  [ $((seed % 2)) -eq 0 ] && deployment=goggle
  "$program" --part log --seed "$seed" --deployment "$deployment"
done

# With this intensity, elections, restarts and snapshots take most of the time. Seed 12 once found a
# log that could not be opened after a crash during a snapshot of the leader.
for seed in 4 9 12; do
  "$program" --part log --seed "$seed" --intensity 6
done

# 770041 found bills that a witness dropped before it had reported them.
"$program" --seed 770041 --steps 200000 --deployment ferreira

# 2277757 restarted the leader after the end of the faults, just before the check that there is one.
"$program" --seed 2277757 --steps 250000 --deployment ferreira

for part in log all; do
  first_output=$("$program" --part "$part" --seed 11 --steps 50000 || true)
  second_output=$("$program" --part "$part" --seed 11 --steps 50000 || true)
  if [ "$first_output" != "$second_output" ]; then
    printf 'two runs with seed 11 printed different outputs:\n%s\n%s\n' "$first_output" "$second_output"
    exit 1
  fi
done

# Each row: the invariant to break, the expected start of the violation message, the part, the seed.
while read -r name expected part seed; do
  if output=$("$program" --part "$part" --seed "$seed" --break "$name"); then
    echo "the broken invariant $name was not detected with seed $seed"
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
committed_entry committed_entry log 1
acknowledged_entry acknowledged_entry log 1
one_leader one_leader log 3
sync \(committed_entry\|one_leader\|acknowledged_entry\) log 1
overspend overspend all 2
one_bill one_bill all 2
one_run one_run all 2
revision revision all 2
conservation conservation all 5
ROWS
echo "all randomised runs passed"
