"""One heartbeat of another writer, with a service that no configuration names, at the address of a live server."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import common_case  # noqa: E402
import standins  # noqa: E402


async def scenario(world, trouble):
    servers = await common_case.start_deployment(
        world, [("orderdesk", 0, 1), ("orderdesk", 1, 1), ("orderdesk", 2, 1), ("orderdesk", 0, 2), ("gallery", 1, 2)])
    await common_case.start_load(world)
    victim = servers[0]
    await common_case.require_open_flows(world, victim, 2)
    await asyncio.sleep(3.0)
    if trouble:
        body = {"Service": "not-in-any-configuration", "Addr": f"{victim.ip}:{world.server_port}", "Zone": victim.zone,
                "Version": "v1", "Slots": 2, "State": "ready", "ColdLeftMs": 0, "Seq": 1,
                "born": int(time.time() * 1000)}
        status, _ = await world.call(world.controls[0].ip, "POST", "/Instances.Heartbeat/i-0badc0de", body)
        world.log(f"another writer's heartbeat, service not-in-any-configuration at {body['Addr']} of live server "
                  f"{victim.id}: status {status}")
    openings_before = len(victim.opened_flows)
    await asyncio.sleep(8.0)
    world.log(f"{victim.id} beat to the end: last acknowledged {time.monotonic() - victim.acknowledged[-1][0]:.1f} s ago; "
              f"flows opened at it in the last 8 s: {len(victim.opened_flows) - openings_before}")
    common_case.check_resets(world)
    common_case.report_orders(world)
    world.stopping = True


standins.main(__file__, scenario)
