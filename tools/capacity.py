#!/usr/bin/env python3
"""Regenerates the tables of docs/CAPACITY.md from docs/figures/*.csv.

Prints the tables as Markdown. With `--write`, replaces the text between the markers in the page instead.
"""

import csv
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIGURES = ROOT / "docs" / "figures"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- member tables: begin -->", "<!-- member tables: end -->"
OWNER_BEGIN, OWNER_END = "<!-- owner tables: begin -->", "<!-- owner tables: end -->"
TARGET_MEMBERS = 420


def read_rows(pattern):
    """Returns the rows of all CSV files that match the pattern, sorted by members and loss. Skips comment lines."""
    matching_rows = []
    for path in sorted(FIGURES.glob(pattern)):
        lines = [line for line in path.read_text().splitlines() if line and not line.startswith("#")]
        matching_rows += list(csv.DictReader(lines))
    return sorted(matching_rows, key=lambda r: (int(r["members"]), float(r["loss"])))


def fit_line(points):
    """Returns (a, b) of the least-squares line y = a + b * x."""
    n = len(points)
    if n < 2:
        return (points[0][1] if points else 0.0), 0.0
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_squares = sum((x - mean_x) ** 2 for x, _ in points)
    b = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares if sum_squares else 0.0
    return mean_y - b * mean_x, b


def print_table(columns, data):
    print("| " + " | ".join(columns) + " |")
    print("|" + "---|" * len(columns))
    for row in data:
        print("| " + " | ".join(str(value) for value in row) + " |")
    print()


def print_cost():
    data = read_rows("fleet-cost*.csv")
    # The first measurement in a process includes the JVM's own warm-up, so its heap figure can be negative.
    heap_kib = lambda r: f"{int(r['heap_bytes']) / 1024:.0f}" if int(r["heap_bytes"]) > 0 else "no figure"
    print_table(
        ["members", "loss", "bytes/s", "bytes/s, busiest", "bytes/s with IP and UDP", "datagrams/s", "% of a core", "heap KiB"],
        [
            (r["members"], r["loss"], r["bytes_per_s"], r["bytes_per_s_max"], r["wire_bytes_per_s"],
             r["datagrams_per_s"], r["cpu_percent"], heap_kib(r))
            for r in data if r["engines"] == "0"
        ],
    )
    lossless = [r for r in data if float(r["loss"]) == 0 and r["engines"] == "0"]
    lines = []
    for field, name in [("wire_bytes_per_s", "bytes/s with headers"), ("cpu_percent", "% of a core"), ("heap_bytes", "heap bytes")]:
        points = [(int(r["members"]), float(r[field])) for r in lossless if float(r[field]) > 0]
        a, b = fit_line(points)
        lines.append((name, f"{a:.4g}", f"{b:.4g}", f"{a + b * TARGET_MEMBERS:.4g}"))
    print_table(["measure, no loss", "fixed", "for each member", f"at {TARGET_MEMBERS}"], lines)


def print_detection():
    print_table(
        ["members", "loss", "deaths", "first ms", "all ms", "all ms, worst", "not found", "quiet s", "false suspicions", "false deaths"],
        [tuple(r[k] for k in ("members", "loss", "deaths", "first_ms_mean", "all_ms_mean", "all_ms_max", "undetected",
                              "quiet_seconds", "false_suspicions", "false_deaths")) for r in read_rows("fleet-detect*.csv")],
    )


def print_spread():
    print_table(
        ["members", "loss", "changes", "accepted ms", "half ms", "all ms", "all ms, worst", "late", "store reads/change", "store reads/s at rest"],
        [tuple(r[k] for k in ("members", "loss", "changes", "accept_ms_mean", "half_ms_mean", "all_ms_mean", "all_ms_max",
                              "late", "store_reads_per_change", "idle_store_reads_per_s")) for r in read_rows("fleet-spread*.csv")],
    )


def print_owner_tables():
    """Prints the tables of state.csv, which contains several CSV tables, each beginning with its header line."""
    lines = [line for line in (FIGURES / "state.csv").read_text().splitlines() if line and not line.startswith("#")]
    for line in lines:
        cells = line.split(",")
        if not cells[1].isdigit():
            print()
        print("| " + " | ".join(cells).replace("_", " ") + " |")
        if not cells[1].isdigit():
            print("|" + "---|" * len(cells))


def replace_between(page, begin, end, text):
    head, rest = page.split(begin, 1)
    return head + begin + "\n" + text.strip() + "\n" + end + rest.split(end, 1)[1]


def capture(print_section):
    import contextlib
    import io

    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        print_section()
    return out.getvalue()


def print_member_tables():
    for title, print_section in [("Control for each daemon", print_cost), ("Finding a dead daemon", print_detection), ("Spread of a configuration", print_spread)]:
        print(f"#### {title}\n")
        print_section()


def main():
    if "--write" not in sys.argv:
        print(capture(print_member_tables) + capture(print_owner_tables), end="")
        return
    page = replace_between(PAGE.read_text(), BEGIN, END, capture(print_member_tables))
    PAGE.write_text(replace_between(page, OWNER_BEGIN, OWNER_END, capture(print_owner_tables)))


if __name__ == "__main__":
    main()
