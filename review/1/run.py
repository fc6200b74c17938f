"""Heartbeats of another writer, with an identifier that is not readable text; then all machines lose power."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import common_case  # noqa: E402
import standins  # noqa: E402

UNREADABLE_ID = "%FF%FE"
CORE_DOWN_S, FRONT_DOWN_S, RECOVER_S, MEASURED_S = 1.1, 3.5, 12.0, 10.0


async def write_heartbeats(world, daemon, number):
    """A writer beside the servers of one zone, which sends a heartbeat to the daemon of its zone every HeartbeatMs."""
    sequence = 0
    while not world.stopping:
        sequence += 1
        body = {"Service": "not-in-any-configuration", "Addr": f"{world.net}.99.{number}:{world.server_port}",
                "Zone": daemon.zone, "Version": "v1", "Slots": 2, "State": "ready", "ColdLeftMs": 0, "Seq": sequence,
                "born": int(world.wall_started_at * 1000)}
        status, _ = await world.call(
            daemon.ip, "POST", f"/Instances.Heartbeat/{UNREADABLE_ID}{number}", body)
        world.log(f"heartbeat of another writer, identifier {UNREADABLE_ID}{number}, at {daemon.name}: status {status}")
        await asyncio.sleep(standins.BEAT_MS / 1000)


def count_answered(world, since, until):
    """Requests that were sent in the span, and those of them that were answered with success."""
    sent = [request for at, request in world.sent if since <= at < until]
    return len(sent), sum(request in world.answered for request in sent)


async def scenario(world, trouble):
    world.wall_started_at = time.time()
    await common_case.start_deployment(
        world, [("orderdesk", 0, 1), ("orderdesk", 1, 1), ("orderdesk", 2, 1), ("orderdesk", 0, 2), ("gallery", 1, 2)])
    await common_case.start_load(world, flow_for_each=True)
    await asyncio.sleep(1.0)
    if trouble:
        for number, daemon in enumerate(world.controls):
            world.tasks.append(asyncio.create_task(write_heartbeats(world, daemon, number)))
    before = time.monotonic()
    await asyncio.sleep(5.0)

    # The final fault: all machines lose power. Those of class core are back first.
    fault = time.monotonic()
    for daemon in world.controls + world.balancers:
        daemon.signal(signal.SIGKILL)
    for daemon in world.controls + world.balancers:
        await daemon.ended()
    await asyncio.sleep(max(0.0, fault + CORE_DOWN_S - time.monotonic()))
    for daemon in world.controls:
        daemon.start()
    await asyncio.sleep(max(0.0, fault + FRONT_DOWN_S - time.monotonic()))
    for daemon in world.balancers:
        daemon.start()
    back = time.monotonic()
    await asyncio.sleep(RECOVER_S + MEASURED_S)
    until = time.monotonic()
    # Requests of the last second may still be in progress.
    sent_before, answered_before = count_answered(world, before, fault - 1.0)
    sent_after, answered_after = count_answered(world, back + RECOVER_S, until - 1.0)
    refused, unanswered = world.count_attempts(back + RECOVER_S, until - 1.0)
    world.log(f"before the final fault {answered_before} of {sent_before} requests were answered; later than RecoverS "
              f"after all machines were back {answered_after} of {sent_after}; besides, {refused} attempts to open a "
              f"flow were reset and {unanswered} got no answer")
    attempts = sent_after + refused + unanswered
    if answered_before >= 0.25 * sent_before and answered_after < 0.25 * attempts:
        world.break_rule(f"RECOVER: {answered_after} of {attempts} requests sent later than RecoverS after all machines "
                         f"were back were served; {answered_before} of {sent_before} before the final fault")
    world.stopping = True


standins.main(__file__, scenario)
