"""The deployment and the load that the scripts share: an order desk and a gallery, long feeds and orders."""
import asyncio
import time

from standins import STABLE_S, CannotRun, Server

FEED, ORDER, PHOTO = 443, 8080, 8443
SERVICES = ["orderdesk", "gallery"]
ROUTES = {FEED: ("orderdesk", "safe"), ORDER: ("orderdesk", "unsafe"), PHOTO: ("gallery", "download")}


async def start_deployment(world, servers):
    """Starts the machines and the servers and waits until all machines are in touch.

    servers: (service, index of the zone, number in the zone)
    """
    await world.start(world.configuration(ROUTES, SERVICES, 7))
    result = [Server(world, service, world.zones[zone], f"{world.net}.{100 + zone}.{number}")
              for service, zone, number in servers]
    for server in result:
        await server.start()
    await world.wait_ready()
    while not world.all_in_touch(time.monotonic()):
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)
    return result


async def keep_feed(world, client, pause_s=0.4):
    """A long flow for many safe requests with pauses; a further try uses a new flow from a new port."""
    while not world.stopping:
        flow = client.new_flow(FEED)
        if not await flow.open():
            await asyncio.sleep(0.5)
            continue
        while not flow.ended and not world.stopping:
            _, stamp = await flow.request("GET", "/status")
            if stamp is None:
                break
            await asyncio.sleep(pause_s)
        flow.finish()


async def place_orders(world, client, pause_s=0.4, flow_for_each=False):
    """Places orders on a long flow, or on a flow for each. An order that was sent on an open flow is never sent again."""
    while not world.stopping:
        flow = client.new_flow(ORDER)
        if not await flow.open():
            await asyncio.sleep(0.5)
            continue
        while not flow.ended and not world.stopping:
            request, stamp = await flow.request("POST", "/orders", b"message in a bottle" * 40)
            world.orders.append((request, stamp, flow.ended))
            if stamp is None:
                break
            await asyncio.sleep(pause_s)
            if flow_for_each:
                break
        flow.finish()


async def start_load(world, feeds_each=4, orderers_each=2, flow_for_each=False):
    world.orders = []
    for zone in world.zones:
        for number in range(1, feeds_each + 1):
            client = await world.add_client(zone, number)
            world.tasks.append(asyncio.create_task(keep_feed(world, client)))
        for number in range(1, orderers_each + 1):
            client = await world.add_client(zone, 100 + number)
            world.tasks.append(asyncio.create_task(place_orders(world, client, flow_for_each=flow_for_each)))


def check_resets(world, planned=False):
    """FLOW (a): a client got a reset that the flow's server didn't send, while that server lives, with no disruption on
    it or its links in the last StableWindowMs: the servers here are never disturbed. Flows here are younger than
    FlowTtlS and never idle for IdleTimeoutMs, and no configuration drops their route.

    planned: all work was planned, so every such reset counts; otherwise all machines have to be in touch.
    """
    for at, flow, how, server in world.ended_flows:
        if how != "reset by the system" or server is None:
            continue
        if not planned and not all(at - daemon.disturbed_at > STABLE_S or daemon.disturbed_at > at
                                   for daemon in world.controls + world.balancers):
            continue
        world.break_rule(f"FLOW: flow {flow.client.ip}:{flow.port}, open for {at - flow.opened_at:.1f} s, was reset by "
                         f"the system while its server {server.id} lives")


def report_orders(world):
    """Orders that were sent on an open flow, got no answer and may not be sent again."""
    lost = [request for request, stamp, ended in world.orders if stamp is None and ended == "reset by the system"]
    twice = [request for request, servers in world.runs.items() if len(servers) > 1]
    world.log(f"orders={len(world.orders)} answered={sum(stamp is not None for _, stamp, _ in world.orders)} "
              f"lost by a reset of the system={lost}, of which ran={[request for request in lost if request in world.runs]}")
    world.log(f"requests that ran more than once={twice}")
    return lost


async def require_open_flows(world, server, count=1):
    """Waits until the server holds open flows, so that the case says something about open flows."""
    for _ in range(100):
        if sum(flow["open"] for key, flow in server.flows.items()) >= count:
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"server {server.id} got no flows")
