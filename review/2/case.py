"""LOST with `sync_replicas` 1: a replica is drained as planned, the other one receives nothing
for some seconds, and the primary crashes meanwhile. Is every acknowledged commit in the log of
the server that is promoted?"""

import asyncio
import os
import shutil
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

DRAIN_AT_S = 3.0  # planned: one replica reports draining
DEAF_AT_S = 4.0  # the other replica receives nothing from here on
CRASH_AT_S = 6.0  # the primary crashes
DEAF_FOR_S = 6.5
CRASH_FOR_S = 7.0
DRAINED_AT_S = 12.0  # the server that drains ends, some seconds after `drain_ms`
END_S = 20.0

ZONES = ["sul-a", "sul-b", "sul-c"]


async def run(record, root, folder):
    store = standins.Store(record)
    await store.start()
    group = standins.Group(record, store, "passes1", ZONES, sync_replicas=1, slots=2, queue=16,
                           max_conns=16, work_s=0.0045)
    cloud = standins.Cloud(record, {group.name: group})
    await cloud.start()
    await group.start()
    store.put("config", "main", standins.configuration(group.name, group.max_conns, 1))
    instances = standins.Instances(record, root, folder, ZONES, store, cloud, standins.BOUNDS)
    try:
        await instances.start()
        if not await instances.wait_ready():
            record.line("the instances did not become ready")
            return 2
        writers = standins.Writers(record, instances, "orders", clients=6, pause_s=0.03)
        began = standins.elapsed()
        primary, departing, other = list(group.servers)

        async def at(seconds):
            await asyncio.sleep(max(0, began + seconds - standins.elapsed()))

        writers.start()
        await at(DRAIN_AT_S)
        group.drain(departing)
        await at(DEAF_AT_S)
        if TROUBLE:
            group.set_deaf(other, True)
        await at(CRASH_AT_S)
        if TROUBLE:
            group.crash(primary)
            await at(DEAF_AT_S + DEAF_FOR_S)
            group.set_deaf(other, False)
        await at(DRAINED_AT_S)
        if group.leader != departing:
            await group.end_drained(departing)
        if TROUBLE:
            await at(CRASH_AT_S + CRASH_FOR_S)
            await group.recover(primary)
        await at(END_S)
        record.line("the clients stop")
        await writers.stop()
    finally:
        record.line("the instances are ended")
        await instances.end()
    return judge(record, group, writers)


def judge(record, group, writers):
    acknowledged = writers.acknowledged
    record.line(f"acknowledged commits: {len(acknowledged)} of {writers.sent} writes")
    if len(acknowledged) < 50:
        record.line("too few writes were served to judge")
        return 2
    broken = False
    for at, id, log in group.promotions:
        kept = {entry[2] for entry in log}
        lost = [commit for commit, when in acknowledged.items() if when < at and commit not in kept]
        record.line(f"promoted at {at:.3f}: {id}; acknowledged commits that it lacks: {len(lost)}")
        for commit in lost[:5]:
            record.line(f"  {commit}, acknowledged at {acknowledged[commit]:.3f}")
        broken |= bool(lost)
    record.line("LOST is broken" if broken else "LOST holds")
    return 1 if broken else 0


def main():
    record = standins.Record(os.path.join(HERE, "record.txt"))
    folder = tempfile.mkdtemp(prefix="review-case-")
    try:
        return asyncio.run(run(record, os.path.join(HERE, "..", ".."), folder))
    except Exception as error:  # the case could not run
        record.line(f"the case ended with an error: {error!r}")
        return 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
