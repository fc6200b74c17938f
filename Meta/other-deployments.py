#!/usr/bin/env python3
"""Runs days of the users' kit, such as quiet-1, on altered copies of a site file, to check that the code also serves
deployments with other parameters.

Usage: Meta/other-deployments.py BENCH SITE [days]
BENCH is the program of the users' kit, SITE one of its site files. Prints one line for each variant and day, and fails
if a day has no result or broke a rule.
"""
import pathlib
import re
import subprocess
import sys
import tempfile


def replace(text, pattern, value):
    changed, count = re.subn(pattern, value, text)
    if count == 0:
        raise SystemExit(f"site file has no match for the pattern {pattern}")
    return changed


VARIANTS = {
    "steady-hash": lambda text: replace(text, r'hash = "mod"', 'hash = "steady"'),
    "slow-announcements": lambda text: replace(text, r"beat_ms = \d+", "beat_ms = 2500"),
    "fast-announcements": lambda text: replace(text, r"beat_ms = \d+", "beat_ms = 400"),
    "far-zones": lambda text: replace(text, r"cross_zone_ms = [0-9.]+", "cross_zone_ms = 6.0"),
    "small-hosts": lambda text: replace(text, r"cpu_share = 0\.(38|5|28|29|3|33),", "cpu_share = 0.2,"),
    "more-balancers": lambda text: replace(text, r'(class = "front".*?)count = \d+', r"\1count = 4"),
    "single-slot": lambda text: replace(text, r"slots = \d+", "slots = 1"),
    "slow-clients": lambda text: replace(text, r"client_ms = [0-9.]+", "client_ms = 25.0"),
    "many-routes": lambda text: replace(text, r"idle_routes = \d+", "idle_routes = 600"),
}


def main():
    if len(sys.argv) < 3:
        raise SystemExit(__doc__)
    bench, site = sys.argv[1], pathlib.Path(sys.argv[2])
    days = sys.argv[3:] or ["quiet-1", "trouble-1", "scale-1", "trouble-2", "scale-2"]
    failed = False
    for name, change in VARIANTS.items():
        with tempfile.TemporaryDirectory() as folder:
            copy = pathlib.Path(folder) / f"{site.stem}-{name}.toml"
            copy.write_text(change(site.read_text()))
            (copy.parent / "wire.json").write_bytes((site.parent / "wire.json").read_bytes())
            for day in days:
                result = subprocess.run([bench, "run", str(copy), day], capture_output=True, text=True, check=False)
                rows = [line for line in result.stdout.splitlines() if line.startswith(day)]
                broken = [line for line in result.stdout.splitlines() if "broke" in line.lower() and "rule" in line.lower()]
                print(f"{site.stem} {name}: {rows[0] if rows else result.stdout[-300:] + result.stderr[-300:]}", flush=True)
                for line in broken:
                    print(f"    {line}", flush=True)
                failed = failed or not rows or bool(broken)
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
