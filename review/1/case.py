"""STALE: four of seven instances are cut off with the primary; three instances join on the
other side, with the replicas and the store. Does a read on a `primary` route miss a commit
that was acknowledged before it was sent?"""

import asyncio
import os
import random
import shutil
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CUT_AT_S = 6.0
CUT_FOR_S = 7.0
JOIN_AT_S = 7.0
END_S = 18.0

# The instances of passe-serrano, and its spare ones, which join.
ZONES = ["sul-a", "sul-a", "sul-a", "sul-b", "sul-b", "sul-b", "sul-c", "sul-a", "sul-b", "sul-c"]
WITH_PRIMARY = ["front-sul-a-1", "front-sul-a-3", "front-sul-b-1", "front-sul-b-3"]
JOINING = ["front-sul-a-4", "front-sul-b-4", "front-sul-c-2"]
SERVICE = "passes5"


class Reader:
    """A client that reads on a `primary` route, one statement after the other."""

    def __init__(self, record, name, address):
        self.record, self.name, self.address = record, name, address
        self.sent_at = {}
        self.answered = set()
        self.stopping = False

    async def run(self):
        client = standins.Client(self.record, self.name, self.address, "orders")
        while not self.stopping:
            id = f"{random.getrandbits(64):016x}"
            try:
                if client.writer is None:
                    await client.connect()
                self.sent_at[id] = standins.elapsed()
                self.record.line(f"client {self.name}: QUERY {id} READ item1")
                word, rest, rows, state = await client.query(id, "READ item1")
                self.record.line(f"client {self.name}: {id} -> {word} {rest} {rows}")
                if word == "DONE":
                    self.answered.add(id)
                if state != "I":
                    client.close()
            except (OSError, asyncio.TimeoutError, ConnectionError) as error:
                self.record.line(f"client {self.name}: {id} -> no answer ({error})")
                client.close()
            await asyncio.sleep(0.05)


class Network:
    """All links of the deployment, each through a proxy of its own."""

    def __init__(self, instances, store, cloud, group):
        self.instances, self.store, self.cloud, self.group = instances, store, cloud, group
        self.links = {}

    async def start(self):
        port = self.instances.ports["internal"]
        for name in self.instances.names:
            for other in self.instances.names:
                if other != name:
                    await self.link(name, other, (self.instances.ips[other], port))
            for server in self.group.servers.values():
                await self.link(name, server.id, server.address)
            view = await self.store.start_view(lambda key, spec, name=name: self.rewrite(name, key, spec))
            self.instances.platforms[name] = await self.link(name, "store", view)
            self.instances.clouds[name] = await self.link(name, "cloud", self.cloud.address)

    async def link(self, name, other, target):
        link = await standins.Link(target).start()
        self.links[(name, other)] = link
        return link.address

    def rewrite(self, name, key, spec):
        link = self.links.get((name, key))
        for field in ("address", "peer_address"):
            if link and field in spec:
                spec[field] = "%s:%d" % link.address

    def split(self, cut, side, server):
        """Cuts everything between `side` with its server, and the rest."""
        inside = set(side) | {server}
        for (name, other), link in self.links.items():
            if (name in inside) != (other in inside):
                link.cut(cut)


async def run(record, root, folder):
    store = standins.Store(record)
    await store.start()
    group = standins.Group(record, store, SERVICE, ["sul-a", "sul-b", "sul-c"], slots=2, queue=16,
                           max_conns=16, work_s=0.0045)
    cloud = standins.Cloud(record, {SERVICE: group}, require_fence=False)
    await cloud.start()
    await group.start()
    store.put("config", "main", standins.configuration(SERVICE, group.max_conns, 0))
    bounds = dict(standins.BOUNDS, require_fence=False)
    instances = standins.Instances(record, root, folder, ZONES, store, cloud, bounds)
    network = Network(instances, store, cloud, group)
    await network.start()
    first = [name for name in instances.names if name not in JOINING]
    others = [name for name in first if name not in WITH_PRIMARY]
    primary = group.leader
    try:
        await instances.start(first)
        if not await instances.wait_ready(first):
            record.line("the instances did not become ready")
            return 2
        writers = standins.Writers(record, instances, "orders", 8, 0.03, first)
        readers = [Reader(record, f"r{number}", instances.front(name))
                   for number, name in enumerate(WITH_PRIMARY)]
        tasks = [asyncio.get_running_loop().create_task(reader.run()) for reader in readers]
        began = standins.elapsed()

        async def at(seconds):
            await asyncio.sleep(max(0, began + seconds - standins.elapsed()))

        writers.start()
        await at(CUT_AT_S)
        if TROUBLE:
            network.split(True, WITH_PRIMARY, primary)
            group.isolate(primary)
            record.line(f"cut: {', '.join(WITH_PRIMARY)} and {primary} from {', '.join(others)},"
                        " the other servers, the store and the platform")
        await at(JOIN_AT_S)
        record.line(f"joining: {', '.join(JOINING)}")
        await instances.start(JOINING)
        await at(CUT_AT_S + CUT_FOR_S)
        if TROUBLE:
            network.split(False, WITH_PRIMARY, primary)
            await group.rejoin(primary)
        await at(END_S)
        record.line("the clients stop")
        await writers.stop()
        for reader in readers:
            reader.stopping = True
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        record.line("the instances are ended")
        await instances.end()
    return judge(record, group, writers, readers)


def judge(record, group, writers, readers):
    log = group.servers[group.leader].log
    kept = {entry[2]: (entry[0], entry[1]) for entry in log}
    # Commits that a promotion rolled back don't count.
    commits = sorted((at, kept[id]) for id, at in writers.acknowledged.items() if id in kept)
    stale = served = 0
    for reader in readers:
        for id in sorted(reader.answered, key=reader.sent_at.get):
            server, term, number = group.reads[id]
            served += 1
            sent_at = reader.sent_at[id]
            newest = max((position for at, position in commits if at < sent_at), default=(0, 0))
            lacks = newest > (term, number)
            if lacks and stale < 5:
                record.line(f"  read {id} of {reader.name}, sent at {sent_at:.3f}, ran at {server} whose log"
                            f" ended at {term}.{number}; {newest[0]}.{newest[1]} was acknowledged before")
            stale += lacks
    record.line(f"commits acknowledged and kept: {len(commits)}; reads served: {served}; stale: {stale}")
    if len(commits) < 50 or served < 50:
        record.line("too little was served to judge")
        return 2
    record.line("STALE is broken" if stale else "STALE holds")
    return 1 if stale else 0


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
