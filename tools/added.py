#!/usr/bin/env python3
"""Prints the latency that celerygw adds to complete responses and to first events, per route, and the start-up times.

Reads the log lines of a replayed day from standard input.
"""
import json
import sys


def percentile(values, fraction):
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))] if values else None


def main():
    complete_ms, first_event_ms, ready_ms = {}, {}, []
    for log_text in sys.stdin:
        json_start = log_text.find('{"timestamp"')
        if json_start < 0:
            continue
        record = json.loads(log_text[json_start:])
        fields = {k: v for pair in record.get("kvpList") or [] for k, v in pair.items()}
        if record["message"] == "end: answered" and fields.get("sends") == "1":
            stream = fields["firstMs"] != "0"
            added_ms, total_key, server_key = (
                (first_event_ms, "firstMs", "serverFirstMs") if stream else (complete_ms, "tookMs", "serverMs"))
            added_ms.setdefault(fields["route"], []).append(int(fields[total_key]) - int(fields[server_key]))
        if record["message"] == "host: readiness changed" and fields.get("ready") == "true":
            ready_ms.append(int(fields["sinceStartMs"]))
    for name, added_ms in (("complete responses", complete_ms), ("first events", first_event_ms)):
        for route, values in sorted(added_ms.items()):
            print(f"{name} of {route}: {len(values)}, added p50 {percentile(values, .5)} ms, p99 {percentile(values, .99)} ms")
    print(f"ready after start, ms: {sorted(ready_ms)}")


main()
