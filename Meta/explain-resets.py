#!/usr/bin/env python3
"""Lists the resets of open flows in the logs of deployments, with what became of their servers.

Usage: Meta/explain-resets.py [--summary] [--leaves] LOG...
LOG is the log of a deployment, with or without a leading time and host column; - stands for standard input. A log with
the column is that of a whole deployment. Logs without it are those of the hosts of one deployment, named after the
files. Prints a line for each reset of a flow that was open (a packet after the handshake, or a handshake packet of a
flow that was placed elsewhere), tables by cause, and the flows that were placed on two servers.
--summary  prints no line for each reset.
--leaves   prints for each server that left when its flows were reset, and when it was last seen after that.
"""
import collections
import datetime
import pathlib
import re
import sys

LINE = re.compile(
    r"^(?:\s*(?P<lead>-?\d+(?:\.\d+)?)\s+(?P<host>[\w.-]+)\s+)?"
    r"(?P<stamp>\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+)Z?\s+\w+\s+(?P<component>\w+)\s+"
    r"event=\d+\s+name=(?P<name>\w+)(?P<rest>.*)$"
)
NAMES = {"flow_placed", "flow_reset", "server_announced", "readiness_changed", "lines_suppressed"}
STATE_GONE = "3"
# Routers and callers repeat a handshake packet for 1.4 s.
HANDSHAKE_SECONDS = 2.0
NEW_BALANCER_SECONDS = 4.0
# Lines are written in batches, so the leading time is late, and the clocks of hosts differ. The smallest difference of
# both is the offset of a host's clock. Differences that are further apart than this are steps of the clock.
CLOCK_STEP_SECONDS = 0.5
# A control host confirms a server that has stopped announcing itself for up to this time. What a balancer learns of it
# from such a confirmation is late by as much.
CONFIRMATION_SECONDS = 2.0

Event = collections.namedtuple("Event", "time host component name fields")


def read_lines(path):
    if path == "-":
        return "input", sys.stdin.read().splitlines()
    try:
        return pathlib.Path(path).stem, pathlib.Path(path).read_text(errors="replace").splitlines()
    except OSError as error:
        raise SystemExit(f"cannot read {path}: {error.strerror}") from error


def clock_offsets(differences):
    """The offset of a host's clock for each difference of a line's leading time and its time by that clock."""
    offsets = {}
    previous = offset = None
    for difference in sorted(differences):
        if previous is None or difference - previous > CLOCK_STEP_SECONDS:
            offset = difference
        offsets[difference] = offset
        previous = difference
    return offsets


def read_events(path):
    source, lines = read_lines(path)
    parsed = []
    differences = collections.defaultdict(set)
    for line in lines:
        match = LINE.match(line)
        if not match:
            continue
        stamp = datetime.datetime.fromisoformat(match["stamp"]).replace(tzinfo=datetime.timezone.utc).timestamp()
        host = match["host"] or source
        difference = float(match["lead"]) - stamp if match["lead"] else 0.0
        differences[host].add(difference)
        parsed.append((match, host, stamp, difference))
    offsets = {host: clock_offsets(values) for host, values in differences.items()}
    events = []
    for match, host, stamp, difference in parsed:
        if match["name"] in NAMES:
            fields = dict(word.split("=", 1) for word in match["rest"].split() if "=" in word)
            time = stamp + offsets[host][difference]
            events.append(Event(time, host, match["component"], match["name"], fields))
    return events, any(match["host"] for match, *_ in parsed)


def number(event, field):
    try:
        return int(event.fields.get(field, -1))
    except ValueError:
        return -1


class History:
    """What the logs say of flows, servers and balancers."""

    def __init__(self, events):
        self.placements = collections.defaultdict(list)
        self.placements_on = collections.defaultdict(list)
        self.resets_by_token = collections.defaultdict(list)
        self.announcements = collections.defaultdict(list)
        self.ready = collections.defaultdict(list)
        self.server_of = {}
        self.resets = []
        self.suppressed = 0
        for event in events:
            self.add(event)

    def add(self, event):
        fields = event.fields
        if event.name == "flow_placed":
            self.placements[fields.get("flow")].append(event)
            self.placements_on[fields.get("token")].append(event)
        elif event.name == "flow_reset":
            self.resets.append(event)
            self.resets_by_token[fields.get("token")].append(event)
        elif event.name == "server_announced" and event.component == "control":
            self.announcements[fields.get("server")].append(event)
        elif event.name == "readiness_changed" and fields.get("ready") == "yes":
            self.ready[event.host].append(event.time)
        elif event.name == "lines_suppressed":
            self.suppressed += max(number(event, "count"), 0)
        if "server" in fields and "token" in fields:
            self.server_of[fields["token"]] = fields["server"]

    def placed_elsewhere(self, reset):
        """The placement of the flow at another balancer or on another server, within the time of a handshake."""
        for placement in self.placements[reset.fields.get("flow")]:
            is_elsewhere = (placement.host, placement.fields["token"]) != (reset.host, reset.fields.get("token"))
            if is_elsewhere and abs(placement.time - reset.time) <= HANDSHAKE_SECONDS:
                return placement
        return None

    def is_open(self, reset):
        purpose = reset.fields.get("purpose")
        return purpose in ("continue", "finish") or (purpose == "open" and self.placed_elsewhere(reset) is not None)

    def started_before(self, server, time):
        earlier = [event for event in self.announcements[server] if event.time <= time and number(event, "started") > 0]
        return earlier[-1].fields["started"] if earlier else None

    def life_after(self, reset):
        """The last sign that the reset's server was up after the reset: its kind and seconds after the reset."""
        token = reset.fields.get("token")
        server = self.server_of.get(token, "?")
        started = self.started_before(server, reset.time)
        signs = []
        for event in self.announcements[server]:
            if event.fields.get("state") != STATE_GONE and event.fields.get("started") == started:
                signs.append((event.time - reset.time, "announced"))
        for event in self.resets_by_token[token]:
            for field, kind, delay in (("announced_ms", "announced", CONFIRMATION_SECONDS), ("response_ms", "response", 0)):
                if number(event, field) >= 0:
                    signs.append((event.time - number(event, field) / 1000 - delay - reset.time, kind))
        for event in self.placements_on[token]:
            if event.fields.get("unanswered") == "0" and event.fields.get("state") != STATE_GONE:
                heard = event.time - number(event, "heard_ms") / 1000 - CONFIRMATION_SECONDS
                signs.append((heard - reset.time, "placed"))
        # Ages are whole milliseconds.
        return max((sign for sign in signs if sign[0] > 0.002), default=None)

    def since_ready(self, reset):
        times = [time for time in self.ready[reset.host] if time <= reset.time]
        return reset.time - times[-1] if times else None


def describe(history, reset):
    fields = reset.fields
    life = history.life_after(reset)
    ready = history.since_ready(reset)
    tracked = fields.get("tracked", "0")
    return {
        "outcome": fields.get("outcome", "?"),
        "purpose": fields.get("purpose", "?") + ("+copy" if number(reset, "copy") > 0 else ""),
        "tracked": "no" if tracked == "0" else "yes" if tracked == fields.get("token") else "other",
        "life": f"{life[1]}" if life else "none",
        "life_s": f"{life[0]:.3f}" if life else "-",
        "new_balancer": "yes" if ready is not None and ready < NEW_BALANCER_SECONDS else "no",
        "displaced": "no" if fields.get("displaced_by", "-") == "-" else "yes",
        "leaving_ms": fields.get("leaving_ms", "-"),
        "silent_ms": fields.get("silent_ms", "-"),
        "announced_ms": fields.get("announced_ms", "-"),
        "control_hosts": fields.get("control_hosts", "-"),
        "server": history.server_of.get(fields.get("token"), "?"),
        "flow": fields.get("flow", "?"),
    }


def print_table(title, keys, rows):
    print(f"\n{title}")
    counts = collections.Counter(tuple(row[key] for key in keys) for row in rows)
    print("  count  " + "  ".join(f"{key:<13}" for key in keys))
    for values, count in sorted(counts.items(), key=lambda item: -item[1]):
        print(f"  {count:>5}  " + "  ".join(f"{value:<13}" for value in values))


def print_leaves(history):
    print("\nservers that left: first control host, first and last reset after that, last sign of the server (ms)")
    for server, events in sorted(history.announcements.items()):
        gone = [event.time for event in events if event.fields.get("state") == STATE_GONE]
        resets = [reset for reset in history.resets
                  if history.server_of.get(reset.fields.get("token")) == server and history.is_open(reset)
                  and reset.fields.get("outcome") == "server_gone" and reset.fields.get("displaced_by") == "-"]
        if not gone or not resets:
            continue
        life = [(history.life_after(reset), reset.time) for reset in resets]
        seen = max((sign[0] + time for sign, time in life if sign), default=None)
        text = "-" if seen is None else f"{1000 * (seen - gone[0]):.0f}"
        print(f"  {server} at={gone[0]:.3f} first={1000 * (resets[0].time - gone[0]):.0f}"
              f" last={1000 * (resets[-1].time - gone[0]):.0f} resets={len(resets)} seen={text}")


def print_moved(history):
    print("\nflows that were placed on two servers")
    for flow, placements in sorted(history.placements.items()):
        for first, second in zip(placements, placements[1:]):
            delay = second.time - first.time
            if first.fields["token"] != second.fields["token"] and delay <= HANDSHAKE_SECONDS:
                print(f"  {second.time:.3f} {flow} {first.fields['server']}@{first.host} then"
                      f" {second.fields['server']}@{second.host} after {1000 * delay:.0f} ms"
                      f" copy={second.fields.get('copy')}")


def main():
    options = {argument for argument in sys.argv[1:] if argument.startswith("--")}
    paths = [argument for argument in sys.argv[1:] if not argument.startswith("--")]
    unknown = options - {"--summary", "--leaves"}
    if unknown:
        raise SystemExit(f"unknown option {min(unknown)}\n\n{__doc__}")
    if not paths:
        raise SystemExit(f"no log is named\n\n{__doc__}")
    deployments = collections.defaultdict(list)
    for path in paths:
        events, has_hosts = read_events(path)
        deployments[path if has_hosts else "logs without host column"] += events
    rows = []
    for name, events in deployments.items():
        history = History(sorted(events, key=lambda event: event.time))
        if not history.resets and not history.placements:
            print(f"{name}: no line about a flow; is the log that of a balancer?", file=sys.stderr)
        print(f"== {name}: {len(history.resets)} resets, {history.suppressed} lines left out by the limit")
        for reset in filter(history.is_open, history.resets):
            rows.append(describe(history, reset))
            if "--summary" not in options:
                text = " ".join(f"{key}={value}" for key, value in rows[-1].items())
                print(f"  {reset.time:.3f} {reset.host} {text}")
        if "--leaves" in options:
            print_leaves(history)
        print_moved(history)
    print_table("resets of open flows", ("outcome", "purpose", "tracked", "life", "new_balancer", "displaced"), rows)


if __name__ == "__main__":
    main()
