#!/usr/bin/env python3
"""Prints what celerygw adds to calls and to first events, from the log lines of a played day on standard input."""
import json
import sys


def percentile(values, share):
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else None


def main():
    whole, first, ready = {}, {}, []
    for text in sys.stdin:
        at = text.find('{"timestamp"')
        if at < 0:
            continue
        line = json.loads(text[at:])
        fields = {k: v for pair in line.get("kvpList") or [] for k, v in pair.items()}
        if line["message"] == "end: answered" and fields.get("sends") == "1":
            stream = fields["firstMs"] != "0"
            part, a, b = (first, "firstMs", "serverFirstMs") if stream else (whole, "tookMs", "serverMs")
            part.setdefault(fields["route"], []).append(int(fields[a]) - int(fields[b]))
        if line["message"] == "host: readiness changed" and fields.get("ready") == "true":
            ready.append(int(fields["sinceStartMs"]))
    for name, part in (("whole answers", whole), ("first events", first)):
        for route, values in sorted(part.items()):
            print(f"{name} of {route}: {len(values)}, added p50 {percentile(values, .5)} ms, p99 {percentile(values, .99)} ms")
    print(f"ready after start, ms: {sorted(ready)}")


main()
