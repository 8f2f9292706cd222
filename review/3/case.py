"""ONE: the instance that holds a duty is replaced, the store is down, and the primary goes
dark. Does an order to promote go out under a token below one that the platform has seen?"""

import asyncio
import os
import shutil
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

REPLACED_AT_S = 4.5  # one instance is gone for good
REPLACED_AFTER_S = 2.0  # and another one starts at another address
DOWN_AT_S = 6.0
DOWN_FOR_S = 3.1
DARK_AT_S = 6.2
DARK_FOR_S = 7.0
END_S = 18.0

# The instances of passe-serrano, and the one that starts.
ZONES = ["sul-a", "sul-a", "sul-a", "sul-b", "sul-b", "sul-b", "sul-c", "sul-a"]
SERVICE = "passes6"


async def run(record, root, folder):
    store = standins.Store(record)
    await store.start()
    group = standins.Group(record, store, SERVICE, ["sul-a", "sul-b", "sul-c"], slots=2, queue=16,
                           max_conns=16, work_s=0.0045)
    cloud = standins.Cloud(record, {SERVICE: group}, require_fence=False)
    await cloud.start()
    await group.start()
    # All instances reach the primary through one link, which goes silent with it.
    primary = group.leader
    link = await standins.Link(group.servers[primary].address).start()
    group.servers[primary].address = link.address
    group.report(group.servers[primary])
    store.put("config", "main", standins.configuration(SERVICE, group.max_conns, 0))
    bounds = dict(standins.BOUNDS, require_fence=False)
    instances = standins.Instances(record, root, folder, ZONES, store, cloud, bounds)
    new = instances.names[-1]
    first = instances.names[:-1]
    try:
        await instances.start(first)
        if not await instances.wait_ready(first):
            record.line("the instances did not become ready")
            return 2
        await asyncio.sleep(4)
        writers = standins.Writers(record, instances, "orders", 7, 0.03, first)
        began = standins.elapsed()

        async def at(seconds):
            await asyncio.sleep(max(0, began + seconds - standins.elapsed()))

        writers.start()
        await at(REPLACED_AT_S)
        holder = store.objects[("chervilwharf-duties", SERVICE)]["spec"]["holder"]
        if TROUBLE:
            instances.processes[holder].kill()
            record.line(f"instance {holder}: gone for good; it held the duty")
        await at(DOWN_AT_S)
        if TROUBLE:
            store.set_down(True)
        await at(DARK_AT_S)
        if TROUBLE:
            group.go_dark(primary, [link])
        await at(REPLACED_AT_S + REPLACED_AFTER_S)
        record.line(f"instance {new}: starts")
        await instances.start([new])
        await at(DOWN_AT_S + DOWN_FOR_S)
        if TROUBLE:
            store.set_down(False)
        await at(DARK_AT_S + DARK_FOR_S)
        if TROUBLE:
            link.cut(False)
            await group.recover(primary, listen=False)
        await at(END_S)
        record.line("the clients stop")
        await writers.stop()
    finally:
        record.line("the instances are ended")
        await instances.end()
    return judge(record, cloud, writers)


def judge(record, cloud, writers):
    if len(writers.acknowledged) < 50:
        record.line("too little was served to judge")
        return 2
    low = [call for call in cloud.calls if call[4] < call[6]]
    for at, service, server, holder, token, status, seen in low:
        record.line(f"at {at:.3f} {holder} sent token {token} after the platform had seen {seen}: {status}")
    record.line(f"orders: {len(cloud.calls)}; under a token that was too low: {len(low)}")
    record.line("ONE is broken" if low else "ONE holds")
    return 1 if low else 0


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
