#!/usr/bin/env python3
"""Guards against a log event, a log field or a metric that docs/OPERATIONS.md does not explain."""

import glob
import os
import re
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")


def read(path):
    with open(path, encoding="utf-8") as file:
        return file.read()


def main():
    page = read(os.path.join(ROOT, "docs", "OPERATIONS.md"))
    documented = set(re.findall(r"`([a-z_]+)`", page))
    events, fields, metrics = {"lines_dropped"}, {"lines", "dropped_lines"}, set()
    gauges = set()
    for path in glob.glob(os.path.join(ROOT, "modules", "router", "*.cpp")):
        text = read(path)
        for call in re.findall(r"\blog_?\.line\((.*?)\);", text, re.S):
            event_part, _, fields_part = call.partition("{")
            events.update(re.findall(r'"([a-z_]+)"', event_part))
            fields.update(re.findall(r'\{ "([a-z_]+)",', fields_part))
        gauges.update(re.findall(r'metrics_?\.set\("([a-z_]+)"', text))
        metrics.update(re.findall(r'metrics_?\.(?:count|record)\("([a-z_]+)"', text))
    errors = [f"log event {name}" for name in sorted(events - documented)]
    errors += [f"log field {name}" for name in sorted(fields - documented)]
    errors += [f"metric {name}" for name in sorted(metrics) if f"figchute_{name}_" not in page]
    errors += [f"gauge {name}" for name in sorted(gauges) if f"`figchute_{name}`" not in page]
    if len(events) < 20 or len(fields) < 30 or len(metrics) < 3 or not gauges:
        errors.append(f"too few found: {len(events)} events, {len(fields)} fields, {len(metrics)} metrics")
    for error in errors:
        print(f"FAIL: docs/OPERATIONS.md does not explain {error}")
    if not errors:
        print(f"ok: {len(events)} events, {len(fields)} fields, {len(metrics)} metrics")
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
