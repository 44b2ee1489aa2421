#!/usr/bin/env python3
"""Recomputes the measured tables of docs/CAPACITY.md from docs/figures/*.csv.

Prints Markdown; the page holds it between its markers. `--write` replaces it there.
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


def rows(pattern):
    """The rows of all tables whose file name fits, comment lines left out."""
    found = []
    for path in sorted(FIGURES.glob(pattern)):
        lines = [line for line in path.read_text().splitlines() if line and not line.startswith("#")]
        found += list(csv.DictReader(lines))
    return sorted(found, key=lambda r: (int(r["members"]), float(r["loss"])))


def slope(points):
    """Least squares: y = a + b * x."""
    n = len(points)
    if n < 2:
        return (points[0][1] if points else 0.0), 0.0
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    spread = sum((x - mx) ** 2 for x, _ in points)
    b = sum((x - mx) * (y - my) for x, y in points) / spread if spread else 0.0
    return my - b * mx, b


def table(names, data):
    print("| " + " | ".join(names) + " |")
    print("|" + "---|" * len(names))
    for row in data:
        print("| " + " | ".join(str(value) for value in row) + " |")
    print()


def cost():
    data = rows("fleet-cost*.csv")
    # The first measurement of a process includes the virtual machine's own warm-up and can come out negative.
    heap = lambda r: f"{int(r['heap_bytes']) / 1024:.0f}" if int(r["heap_bytes"]) > 0 else "no figure"
    table(
        ["members", "loss", "bytes/s", "bytes/s, busiest", "bytes/s with IP and UDP", "datagrams/s", "% of a core", "heap KiB"],
        [
            (r["members"], r["loss"], r["bytes_per_s"], r["bytes_per_s_max"], r["wire_bytes_per_s"],
             r["datagrams_per_s"], r["cpu_percent"], heap(r))
            for r in data if r["engines"] == "0"
        ],
    )
    quiet = [r for r in data if float(r["loss"]) == 0 and r["engines"] == "0"]
    lines = []
    for field, name in [("wire_bytes_per_s", "bytes/s with headers"), ("cpu_percent", "% of a core"), ("heap_bytes", "heap bytes")]:
        points = [(int(r["members"]), float(r[field])) for r in quiet if float(r[field]) > 0]
        a, b = slope(points)
        lines.append((name, f"{a:.4g}", f"{b:.4g}", f"{a + b * TARGET_MEMBERS:.4g}"))
    table(["measure, no loss", "fixed", "for each member", f"at {TARGET_MEMBERS}"], lines)


def detect():
    table(
        ["members", "loss", "deaths", "first ms", "all ms", "all ms, worst", "not found", "quiet s", "false suspicions", "false deaths"],
        [tuple(r[k] for k in ("members", "loss", "deaths", "first_ms_mean", "all_ms_mean", "all_ms_max", "undetected",
                              "quiet_seconds", "false_suspicions", "false_deaths")) for r in rows("fleet-detect*.csv")],
    )


def spread():
    table(
        ["members", "loss", "changes", "accepted ms", "half ms", "all ms", "all ms, worst", "late", "store reads/change", "store reads/s at rest"],
        [tuple(r[k] for k in ("members", "loss", "changes", "accept_ms_mean", "half_ms_mean", "all_ms_mean", "all_ms_max",
                              "late", "store_reads_per_change", "idle_store_reads_per_s")) for r in rows("fleet-spread*.csv")],
    )


def owner():
    """The tables of state.csv, which holds one CSV table after the other."""
    lines = [line for line in (FIGURES / "state.csv").read_text().splitlines() if line and not line.startswith("#")]
    for line in lines:
        cells = line.split(",")
        if not cells[1].isdigit():
            print()
        print("| " + " | ".join(cells).replace("_", " ") + " |")
        if not cells[1].isdigit():
            print("|" + "---|" * len(cells))


def fill(page, begin, end, text):
    head, rest = page.split(begin, 1)
    return head + begin + "\n" + text.strip() + "\n" + end + rest.split(end, 1)[1]


def printed(part):
    import contextlib
    import io

    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        part()
    return out.getvalue()


def member():
    for title, part in [("Control for each daemon", cost), ("Finding a dead daemon", detect), ("Spread of a configuration", spread)]:
        print(f"#### {title}\n")
        part()


def main():
    if "--write" not in sys.argv:
        print(printed(member) + printed(owner), end="")
        return
    page = fill(PAGE.read_text(), BEGIN, END, printed(member))
    PAGE.write_text(fill(page, OWNER_BEGIN, OWNER_END, printed(owner)))


if __name__ == "__main__":
    main()
