"""A route goes to another service, and clients use their ports again a minute after their earlier flows have closed."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as st  # noqa: E402  pylint: disable=wrong-import-position

IDLE_S = 90.0
APPLY_S = st.BOUNDS["ConfigApplyMs"] / 1000
FLOWS, FIRST_PORT, ROUTE = 30, 50000, 9090


class Site(st.Site, st.FlowRules):
    """Judges CONFIG by the opening packet that a server took."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # (time of the acknowledgement, service) of the route, oldest first.
        self.targets, self.opened_at = [], {}

    def on_open(self, server, key, sender):
        self.opened_at[key] = self.now()
        daemon = next((item.name for item in self.daemons if item.ip == sender), sender)
        self.record(f"server {server.id} of {server.service} takes the opening packet of {st.text(key[0])}:{key[1]} to "
                    f"port {key[2]} from {daemon}")

    def on_run(self, server, request, key):
        self.runs.setdefault(request, []).append(server.id)
        self.record(f"server {server.id} of {server.service} runs {request}")
        if key[2] != ROUTE:
            return
        acknowledged = [index for index, (at, _) in enumerate(self.targets) if at < self.opened_at[key] - APPLY_S]
        allowed = {service for _, service in self.targets[acknowledged[-1] if acknowledged else 0:]}
        if server.service not in allowed:
            self.violation(f"CONFIG: {request} ran at a server of {server.service}, {self.opened_at[key] - self.targets[-1][0]:.1f}"
                           f" s after the acknowledgement of the version that sends the route to {self.targets[-1][1]}")


async def orders(site, caller, until):
    while site.now() < until:
        await caller.flow(8080, [(60, 0, 2.0)])
        await asyncio.sleep(0.3)


async def use_ports(caller):
    """One flow after the other, each from a port of its own."""
    for index in range(FLOWS):
        await caller.flow(ROUTE, [(10, 0, 2.0)], FIRST_PORT + index)


async def play(site, trouble):
    site.services = ["bookings", "packs"]
    site.routes = {8080: ("bookings", "unsafe"), ROUTE: ("bookings", "safe")}
    cores = [st.Daemon(site, "core", zone, 1) for zone in site.zones]
    fronts = [st.Daemon(site, "front", zone, 11) for zone in site.zones]
    for daemon in cores + fronts:
        daemon.start(cores)
    for daemon in fronts:
        asyncio.ensure_future(daemon.probe())
    control = [(core.ip, site.ports["control"]) for core in cores]
    servers = [st.Server(site, service, zone, host, control[index:] + control[:index])
               for index, zone in enumerate(site.zones) for service, host in (("bookings", 31), ("packs", 32))]
    await asyncio.sleep(1)
    for server in servers:
        await server.start()
    callers = [st.Caller(site, zone, 41) for zone in site.zones]
    for caller in callers:
        await caller.start()
    await asyncio.sleep(1)
    operator = st.Operator(site, IDLE_S)
    if await operator.put(3) != 200:
        raise RuntimeError("the first configuration was not accepted")
    site.targets.append((site.now(), "bookings"))
    await st.wait_for_rotation(site, fronts)
    site.record("traffic begins")
    traffic = asyncio.gather(*[orders(site, caller, site.now() + 75) for caller in callers])
    await asyncio.gather(*[use_ports(caller) for caller in callers])
    closed_at = site.now()
    site.record("the flows to the route have closed")
    await asyncio.sleep(2)
    if trouble:
        site.routes[ROUTE] = ("packs", "safe")
        if await operator.put(7) != 200:
            raise RuntimeError("the change was not accepted")
        site.targets.append((site.now(), "packs"))
    # Longer than FlowTtlS, and than a port rests after TCP (60 s).
    await asyncio.sleep(closed_at + st.TTL_S + 2 - site.now())
    site.record("clients use the ports again")
    await asyncio.gather(*[use_ports(caller) for caller in callers])
    await traffic
    site.record(f"{len(site.answers)} requests, {len(site.violations)} breaks")
    return 1 if site.violations else 0


async def case(trouble):
    site = Site(pathlib.Path(__file__).resolve().parent, ["zone-a", "zone-b", "zone-c"])
    site.setup_rules()
    try:
        return await play(site, trouble)
    finally:
        await site.end()


st.main(case)
