"""Stand-ins for the platform, the database servers and the clients, on loopback addresses.

They follow PROTOCOL.md and DEPLOY.md. Only the standard library is used. Everything runs on
one asyncio event loop and the real clock; the instances under test are separate processes.
"""

import asyncio
import copy
import ctypes
import hashlib
import json
import os
import random
import signal
import socket
import time
import urllib.parse

START = time.monotonic()


def elapsed():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{elapsed():9.4f} {text}\n")
        self.file.flush()


# --- HTTP -----------------------------------------------------------------------------------


async def read_http(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, target, headers, body


def http_answer(status, body):
    data = b"" if body is None else json.dumps(body).encode()
    head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


async def serve_http(handler, reader, writer):
    try:
        while True:
            method, target, headers, body = await read_http(reader)
            status, answer = await handler(method, target, headers, body)
            writer.write(http_answer(status, answer))
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


# --- The platform's metadata store -----------------------------------------------------------


class Store:
    """Objects by kind and name, conditional writes and watches.

    Answers to calls with `stale_ok` show the state of `stale_s` seconds ago; all other calls
    are linearizable.
    """

    def __init__(self, record, answer_s=0.004):
        self.record = record
        self.answer_s = answer_s
        self.stale_s = 0.0
        self.down = False
        self.connections = set()
        self.revision = 0
        self.objects = {}
        self.events = []  # (revision, time, kind, event)
        self.changed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        if self.down:
            writer.transport.abort()
            return
        self.connections.add(writer)
        await serve_http(self.handle, reader, writer)
        self.connections.discard(writer)

    def set_down(self, down):
        """While it is down, the store resets all connections and takes no heartbeats."""
        self.down = down
        self.record.line(f"store: {'down, resets connections' if down else 'up again'}")
        for writer in self.connections if down else ():
            writer.transport.abort()

    async def start_view(self, rewrite):
        """Serves the same objects at another address. `rewrite` changes what is answered, so
        that the addresses in it can be those of proxies."""

        async def handle(method, target, headers, body):
            status, answer = await self.handle(method, target, headers, body)
            return status, rewritten(copy.deepcopy(answer), rewrite)

        server = await asyncio.start_server(
            lambda r, w: serve_http(handle, r, w), "127.0.0.1", 0
        )
        return server.sockets[0].getsockname()

    def put(self, kind, name, spec, status=None, finalizers=None):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else int(time.time() * 1000)
        obj = {
            "meta": {
                "name": name, "rev": self.revision, "created": created,
                "finalizers": finalizers or [], "deleting": False,
            },
            "spec": spec, "status": status,
        }
        self.objects[(kind, name)] = obj
        self.note(kind, {"removed": False, "object": obj})
        return obj

    def delete(self, kind, name):
        obj = self.objects.pop((kind, name), None)
        if obj is not None:
            self.revision += 1
            self.note(kind, {"removed": True, "object": obj})
        return obj

    def note(self, kind, event):
        self.events.append((self.revision, time.monotonic(), kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def visible_revision(self, stale):
        """The revision that a call sees."""
        if not stale or self.stale_s == 0:
            return self.revision
        until = time.monotonic() - self.stale_s
        seen = [revision for revision, at, _, _ in self.events if at <= until]
        return seen[-1] if seen else 0

    def items_at(self, kind, revision):
        if revision == self.revision:
            return [o for (k, _), o in sorted(self.objects.items()) if k == kind]
        items = {}
        for at, _, event_kind, event in self.events:
            if at > revision or event_kind != kind:
                continue
            name = event["object"]["meta"]["name"]
            if event["removed"]:
                items.pop(name, None)
            else:
                items[name] = event["object"]
        return [items[name] for name in sorted(items)]

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        await asyncio.sleep(self.answer_s)
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET":
            return await self.get(kind, name, query)
        document = json.loads(body) if body else {}
        return self.change(method, kind, name, query, document)

    async def get(self, kind, name, query):
        stale = query.get("stale_ok") == "1"
        if name is not None:
            obj = self.objects.get((kind, name))
            return (200, obj) if obj else (404, None)
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)), stale)
        revision = self.visible_revision(stale)
        items = self.items_at(kind, revision)
        after = query.get("after")
        if after is not None:
            items = [o for o in items if o["meta"]["name"] > after]
        return 200, {"items": items[:500], "has_more": len(items) > 500, "store_revision": revision}

    async def watch(self, kind, after, wait_ms, stale):
        until = time.monotonic() + min(wait_ms, 30000) / 1000
        while True:
            visible = self.visible_revision(stale)
            events = [e for r, _, k, e in self.events if after < r <= visible and k == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": max(visible, after)}
            step = min(left, 0.02) if stale and self.stale_s else left
            try:
                await asyncio.wait_for(self.changed.wait(), step)
            except asyncio.TimeoutError:
                pass

    def change(self, method, kind, name, query, document):
        meta = document.get("meta") or {}
        if method == "POST":
            name = meta["name"]
            known = self.objects.get((kind, name))
            if known:
                return 409, known
            return 201, self.put(kind, name, document["spec"])
        known = self.objects.get((kind, name))
        if known is None:
            return 404, None
        expected = meta.get("rev", query.get("rev"))
        if expected is not None and int(expected) != known["meta"]["rev"]:
            return 409, known
        if method == "PUT":
            return 200, self.put(kind, name, document["spec"])
        if method == "DELETE":
            return 200, self.delete(kind, name)
        return 405, None


def rewritten(answer, rewrite):
    if isinstance(answer, dict):
        if "meta" in answer and "spec" in answer:
            rewrite(answer["meta"]["name"], answer["spec"])
        else:
            for value in answer.values():
                rewritten(value, rewrite)
    elif isinstance(answer, list):
        for value in answer:
            rewritten(value, rewrite)
    return answer


# --- Links --------------------------------------------------------------------------------


class Link:
    """A proxy to one address. While it is cut it passes nothing, and resets nothing."""

    def __init__(self, target):
        self.target = target
        self.passing = asyncio.Event()
        self.passing.set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()
        return self

    def cut(self, cut):
        if cut:
            self.passing.clear()
        else:
            self.passing.set()

    async def serve(self, reader, writer):
        try:
            await self.passing.wait()
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            writer.close()
            return
        await asyncio.gather(
            self.pump(reader, upstream_writer), self.pump(upstream_reader, writer)
        )

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.passing.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# --- The platform's duties ------------------------------------------------------------------


class Cloud:
    """Takes `POST /promote`."""

    def __init__(self, record, groups, require_fence=True, promote_s=1.0):
        self.record = record
        self.groups = groups
        self.require_fence = require_fence
        self.promote_s = promote_s
        self.calls = []  # (time, service, server, holder, token, status)
        self.highest = {}

    async def start(self):
        server = await asyncio.start_server(
            lambda r, w: serve_http(self.handle, r, w), "127.0.0.1", 0
        )
        self.address = server.sockets[0].getsockname()

    async def handle(self, method, target, headers, body):
        document = json.loads(body)
        service, server = document["service"], document["id"]
        holder, token = headers.get("duty-holder"), int(headers["fence-token"])
        group = self.groups[service]
        status = 200
        if self.require_fence and token < self.highest.get(service, 0):
            status = 409
        elif not group.servers[server].up:
            status = 409
        seen = self.highest.get(service, 0)
        self.calls.append((elapsed(), service, server, holder, token, status, seen))
        self.record.line(
            f"platform: POST /promote {service} {server} from {holder} token {token}"
            f" (highest seen {seen}) -> {status}"
        )
        self.highest[service] = max(seen, token)
        if status == 200 and group.leader != server:
            asyncio.get_running_loop().create_task(self.promote(group, server))
        return status, {}

    async def promote(self, group, server):
        await asyncio.sleep(self.promote_s)
        group.promote(server)


# --- Database servers -----------------------------------------------------------------------


class Server:
    def __init__(self, id, zone):
        self.id = id
        self.zone = zone
        self.up = True
        self.draining = False
        self.deaf = False
        self.isolated = False  # cut off from the other servers and the store
        self.former = False  # another server was promoted, and it doesn't know yet
        self.term = 1
        self.log = []  # (term, number, statement id)
        self.applied = 0
        self.seq = 0
        self.connections = set()
        self.slots = None
        self.waiting = 0

    def position(self, length):
        return f"{self.log[length - 1][0]}.{self.log[length - 1][1]}" if length else f"{self.term}.0"


class Group:
    """One service: a primary and replicas with a replicated log."""

    def __init__(self, record, store, name, zones, sync_replicas=0, slots=3, queue=24,
                 max_conns=22, work_s=0.006, lag_s=0.06, network_s=0.0005, handshake_s=0.012):
        self.record = record
        self.store = store
        self.name = name
        self.sync = sync_replicas
        self.slots, self.queue, self.max_conns = slots, queue, max_conns
        self.work_s, self.lag_s = work_s, lag_s
        self.network_s, self.handshake_s = network_s, handshake_s
        self.servers = {}
        self.term = 1
        self.promotions = []
        for zone in zones:
            id = "i-" + "".join(random.choice("0123456789abcdef") for _ in range(10))
            self.servers[id] = Server(id, zone)
        self.leader = next(iter(self.servers))
        self.on_status = None
        self.reads = {}  # by statement id: server, and the end of the log that it read

    async def start(self):
        for server in self.servers.values():
            server.slots = asyncio.Semaphore(self.slots)
            await self.listen(server, 0)
            self.report(server)
        asyncio.get_running_loop().create_task(self.beat())

    async def listen(self, server, port):
        server.listener = await asyncio.start_server(
            lambda r, w, s=server: self.serve(s, r, w), "127.0.0.1", port, limit=2 * 1024 * 1024
        )
        server.address = server.listener.sockets[0].getsockname()

    def report(self, server):
        """The server's own entry in the store."""
        server.seq += 1
        self.store.put("servers", server.id, {
            "service": self.name, "address": f"{server.address[0]}:{server.address[1]}",
            "zone": server.zone, "version": "v1", "slots": self.slots,
            "state": "draining" if server.draining else "ready", "cold_left_ms": 0,
            "db_role": "primary" if server.id == self.leader else "replica", "seq": server.seq,
        })

    async def beat(self):
        missed = {}
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers.values():
                if server.up and not server.isolated and not self.store.down:
                    missed[server.id] = 0
                    self.report(server)
                else:
                    missed[server.id] = missed.get(server.id, 0) + 1
                    if missed[server.id] >= 3 and not self.store.down:
                        self.store.delete("servers", server.id)

    def crash(self, id):
        server = self.servers[id]
        server.up = False
        server.listener.close()
        for writer in list(server.connections):
            writer.transport.abort()
        self.record.line(f"server {id}: crashes; its log ends at {server.position(len(server.log))}")

    def go_dark(self, id, links):
        """The server crashes without a sign: nothing on its connections is answered or reset."""
        self.servers[id].up = False
        for link in links:
            link.cut(True)
        self.record.line(f"server {id}: goes dark")

    async def recover(self, id, listen=True):
        server = self.servers[id]
        server.up = True
        if id != self.leader:
            self.follow(server)
        if listen:
            await self.listen(server, server.address[1])
        self.report(server)
        self.record.line(f"server {id}: is back")

    def drain(self, id):
        self.servers[id].draining = True
        self.report(self.servers[id])
        self.record.line(f"server {id}: the store accepted that it is draining")

    async def end_drained(self, id):
        """A server that drained ends. Its log goes to a new server at its address."""
        old = self.servers.pop(id)
        old.up = False
        old.listener.close()
        for writer in list(old.connections):
            writer.transport.abort()
        self.store.delete("servers", id)
        new = Server("i-" + "".join(random.choice("0123456789abcdef") for _ in range(10)), old.zone)
        new.slots, new.log, new.term, new.applied = asyncio.Semaphore(self.slots), old.log, old.term, old.applied
        self.servers[new.id] = new
        await asyncio.sleep(0.5)
        if self.leader != id and self.servers[self.leader].up:
            self.follow(new)
        await self.listen(new, old.address[1])
        self.report(new)
        self.record.line(f"server {id}: ends; {new.id} starts at its address with its log")

    def set_deaf(self, id, deaf):
        server = self.servers[id]
        server.deaf = deaf
        self.record.line(f"server {id}: receives {'nothing from now on' if deaf else 'again'}")
        if not deaf and id != self.leader and self.servers[self.leader].up:
            self.follow(server)

    def follow(self, server):
        """A replica takes over the log of the primary."""
        log = self.servers[self.leader].log
        common = 0
        while common < min(len(log), len(server.log)) and log[common] == server.log[common]:
            common += 1
        del server.log[common:]
        server.log.extend(log[common:])
        server.applied = min(server.applied, common)
        server.term = self.term
        self.applies_later(server, len(server.log))

    def applies_later(self, server, length):
        def apply():
            if length <= len(server.log):
                server.applied = max(server.applied, length)
        asyncio.get_running_loop().call_later(self.lag_s, apply)

    def promote(self, id):
        if id == self.leader or not self.servers[id].up:
            return
        old = self.servers[self.leader]
        self.term += 1
        self.leader = id
        server = self.servers[id]
        server.term = self.term
        server.applied = len(server.log)
        self.promotions.append((elapsed(), id, list(server.log)))
        self.record.line(f"server {id}: leads term {self.term}, log ends at {server.position(len(server.log))}")
        for other in self.servers.values():
            if other.id != id and other.up and not other.deaf and not other.isolated:
                self.follow(other)
        old.former = old.up and old.isolated
        for other in (server, old):
            if other.up and not other.isolated:
                self.report(other)

    def isolate(self, id):
        self.servers[id].isolated = True
        self.record.line(f"server {id}: cut off from the other servers and the store")

    async def rejoin(self, id):
        """The cut heals. An old primary goes on until a second after it reaches the new one."""
        server = self.servers[id]
        server.isolated = False
        self.record.line(f"server {id}: reaches the others again, log ends at {server.position(len(server.log))}")
        await asyncio.sleep(1)
        if server.former:
            server.former = False
            self.follow(server)
        self.report(server)

    def leads(self, server):
        return server.id == self.leader or server.former

    async def append(self, server, id):
        """Adds a commit to the primary's log. Waits for replicas where they are synchronous."""
        number = (server.log[-1][1] if server.log else 0) + 1
        term = server.term
        entry = (term, number, id)
        server.log.append(entry)
        server.applied = len(server.log)
        length = len(server.log)
        receipts = 0
        event = asyncio.Event()

        def receive(replica):
            nonlocal receipts
            apart = replica.isolated or server.isolated
            if replica.up and not replica.deaf and not apart and server.up and self.term == term:
                if len(replica.log) < length:
                    replica.log.extend(server.log[len(replica.log):length])
                    self.applies_later(replica, length)
                receipts += 1
                event.set()

        loop = asyncio.get_running_loop()
        for replica in self.servers.values():
            if replica.id != server.id:
                loop.call_later(self.network_s, receive, replica)
        while receipts < self.sync:
            event.clear()
            await event.wait()
        return f"{term}.{number}"

    async def serve(self, server, reader, writer):
        server.connections.add(writer)
        try:
            await self.session(server, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            server.connections.discard(writer)
            writer.close()

    async def slot(self, server, seconds):
        """Occupies a slot. False if too many wait for one."""
        if server.slots.locked() and server.waiting >= self.queue:
            return False
        server.waiting += 1
        try:
            await server.slots.acquire()
        finally:
            server.waiting -= 1
        try:
            await asyncio.sleep(seconds)
        finally:
            server.slots.release()
        return True

    async def session(self, server, reader, writer):
        line = (await reader.readuntil(b"\n")).decode().rstrip("\r\n")
        if line.startswith("GET /health"):
            state = "503" if server.draining else "200"
            writer.write(f"HTTP/1.1 {state} x\r\nInstance-Id: {server.id}\r\nContent-Length: 0\r\n\r\n".encode())
            return
        fields = line.split(" ")
        if fields[0] != "START" or fields[1] != self.name or (len(fields) > 3 and fields[3] != server.id):
            writer.write(f"ERROR MISROUTED {server.id}\r\n".encode())
            await writer.drain()
            return
        if len(server.connections) > self.max_conns:
            writer.write(f"ERROR TOOMANY {server.id}\r\n".encode())
            await writer.drain()
            return
        await self.slot(server, self.handshake_s)
        state = {"state": "I", "write": False, "writes": [], "values": {}, "prepared": {}}
        writer.write(f"READY I {server.position(server.applied)}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\n")).decode().rstrip("\r\n")
            word, _, rest = line.partition(" ")
            if word == "TERMINATE":
                return
            id, _, text = rest.partition(" ")
            rows, error = await self.query(server, state, id, text)
            out = "".join(f"ROW {row}\r\n" for row in rows)
            if error:
                out = f"ERROR {error} {server.id}\r\n"
            else:
                signature = hashlib.sha256(f"{server.id} {id} {text} {rows}".encode()).hexdigest()[:20]
                out += f"DONE {signature if id != '-' else '-'}\r\n"
            out += f"READY {state['state']} {server.position(server.applied)}\r\n"
            writer.write(out.encode())
            await writer.drain()

    async def query(self, server, state, id, text):
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = (int(part) for part in position.split("."))
            applied = server.log[:server.applied]
            if number and not any(e[0] == term and e[1] == number for e in reversed(applied)):
                return [], "LAGGING"
        word, _, rest = text.partition(" ")
        leads = self.leads(server)
        if state["state"] == "E" and word not in ("COMMIT", "ROLLBACK"):
            return [], "MALFORMED"
        empty_commit = word == "COMMIT" and not state["writes"]
        if state["state"] == "T" and state["write"] and not leads and word != "ROLLBACK" and not empty_commit:
            state["state"] = "I" if word == "COMMIT" else "E"
            state["writes"] = []
            return [], "READONLY"
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"):
            work = 0.001 if word == "STATUS" else self.work_s
            if not await self.slot(server, work):
                return [], "BUSY"
            leads = self.leads(server)
        if word == "BEGIN":
            if rest == "" and not leads:
                return [], "READONLY"
            state.update(state="T", write=rest == "", writes=[])
            return [], None
        if word == "ROLLBACK":
            state.update(state="I", writes=[])
            return [], None
        if word == "COMMIT":
            failed, writes = state["state"] != "T", state["writes"]
            state.update(state="I", writes=[])
            if failed:
                return [], "ABORTED"
            if writes:
                if not leads:
                    return [], "READONLY"
                await self.append(server, id)
            return [], None
        if word == "STATUS":
            if self.on_status:
                self.on_status(server)
            return [self.status(server)], None
        if word == "SET":
            name, _, value = rest.partition(" ")
            state["values"][name] = value
            return [], None
        if word == "RESET":
            state["values"].clear()
            state["prepared"].clear()
            return [], None
        if word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            state["prepared"][name] = access
            return [], None
        if word == "DEMOTE" and server.former and int(rest) > server.term and not server.isolated:
            server.former = False
            self.follow(server)
        if word in ("PAUSE", "RESUME", "DEMOTE"):
            return [self.status(server)], None
        access = {"READ": "READ", "WRITE": "WRITE"}.get(word)
        if word == "EXECUTE":
            access = state["prepared"].get(rest.split(" ")[0])
            if access is None:
                return [], "NOSTMT"
        if access == "READ":
            end = server.log[server.applied - 1] if server.applied else (0, 0)
            self.reads[id] = (server.id, end[0], end[1])
            return [f"rows-at-{server.position(server.applied)}"], None
        if access == "WRITE":
            if not leads:
                return [], "READONLY"
            if state["state"] == "T":
                state["writes"].append(id)
            else:
                await self.append(server, id)
            return [], None
        return [], "MALFORMED"

    def status(self, server):
        role = "primary" if self.leads(server) else "replica"
        return (f"{role} {server.term} {server.position(len(server.log))} 0 0 "
                f"{server.waiting} {len(server.connections)}")


# --- Instances under test -------------------------------------------------------------------


class Instances:
    """Processes of the program of the deploy file, each on a loopback address of its own."""

    def __init__(self, record, root, folder, zones, store, cloud, bounds):
        self.record, self.root, self.folder = record, root, folder
        self.store, self.cloud, self.bounds = store, cloud, bounds
        self.names, self.processes, self.files = [], {}, []
        self.platforms, self.clouds = {}, {}  # addresses by instance, where they differ
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        ips = [f"{net}.{number + 2}" for number in range(len(zones))]
        self.ports = free_ports(ips, ("front", "ready", "control", "internal"))
        counts = {}
        self.zones = {}
        self.ips = {}
        for number, zone in enumerate(zones):
            counts[zone] = counts.get(zone, 0) + 1
            name = f"front-{zone}-{counts[zone]}"
            self.names.append(name)
            self.zones[name], self.ips[name] = zone, ips[number]

    def settings(self, name):
        ip, ports = self.ips[name], self.ports
        seeds = [f"{self.ips[other]}:{ports['control']}" for other in self.names[:3]]
        return {
            "node": name, "role": "proxy", "machine_class": "front",
            "serves": ["front", "control"], "ip": ip, "zone": self.zones[name], "region": "r",
            "zones": {zone: "r" for zone in set(self.zones.values())},
            "listen": {key: f"{ip}:{ports[key]}" for key in ("front", "ready", "control")},
            "internal_ports": [ports["internal"], ports["internal"] + 15],
            "seeds": seeds, "bootstrap": True, "counts_as_loss": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4300,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0}, "bounds": self.bounds,
            "platform": {"address": "%s:%d" % self.platforms.get(name, self.store.address), "form": "objects",
                         "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "min_ttl_ms": 1000},
            "cloud": {"address": "%s:%d" % self.clouds.get(name, self.cloud.address), "rate_per_s": 50.0,
                      "duties": ["promote"], "duty_per_s": 50.0},
        }

    async def start(self, names=None):
        for name in names or self.names:
            path = os.path.join(self.folder, f"{name}.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(self.settings(name), file)
            log = open(os.path.join(self.folder, f"{name}.log"), "w", encoding="utf-8")
            self.files.append(log)
            environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
            environment["CHERVILWHARF_BOOT"] = path
            self.processes[name] = await asyncio.create_subprocess_exec(
                "target/release/chervilwharf-platform", "--metrics-port", "9464",
                cwd=self.root, env=environment, stdout=log, stderr=log, preexec_fn=die_with_parent,
            )

    def front(self, name):
        return self.ips[name], self.ports["front"]

    async def is_ready(self, name):
        try:
            reader, writer = await asyncio.open_connection(self.ips[name], self.ports["ready"])
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, names=None, limit_s=15):
        until = time.monotonic() + limit_s
        for name in names or self.names:
            while not await self.is_ready(name):
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        return True

    def freeze(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)
        self.record.line(f"instance {name}: SIGSTOP")

    def thaw(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.record.line(f"instance {name}: SIGCONT")

    async def end(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for file in self.files:
            file.close()

    def events(self, names):
        """Events of these kinds in the logs of the instances, by time of day."""
        found = []
        for name in self.names:
            with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8") as file:
                for line in file:
                    try:
                        event = json.loads(line)
                    except ValueError:
                        continue
                    if event.get("event") in names:
                        found.append(event)
        return sorted(found, key=lambda event: event["at_ms"])


PR_SET_PDEATHSIG = 1


def die_with_parent():
    """Has the kernel kill this process when the script ends, however that happens."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


def free_ports(ips, names):
    """Ports that are free on all addresses, below those of outgoing connections."""
    ports = {}
    while len(ports) < len(names):
        port = random.randrange(20000, 30000)
        apart = all(abs(port - other) > 20 for other in ports.values())
        if apart and all(is_free(ip, port) for ip in ips):
            ports[names[len(ports)]] = port
    return ports


# --- Clients --------------------------------------------------------------------------------


class Client:
    """One session. It sends the next statement only after the answer to the last one."""

    def __init__(self, record, name, address, database):
        self.record, self.name, self.address, self.database = record, name, address, database
        self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.address), 2)
        self.writer.write(f"START {self.database} {self.name}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode().strip())

    async def query(self, id, text):
        """Returns the word and the fields of the answer: DONE or ERROR, and the final state."""
        self.writer.write(f"QUERY {id} {text}\r\n".encode())
        result, rows = None, []
        while True:
            line = await asyncio.wait_for(self.reader.readline(), 5)
            if not line:
                raise ConnectionError("closed")
            word, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word in ("DONE", "ERROR"):
                result = (word, rest)
            elif word == "READY":
                return result[0], result[1], rows, rest.split(" ")[0]

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None


class Writers:
    """Clients that send single writes, one after the other, and note which were acknowledged."""

    def __init__(self, record, instances, database, clients, pause_s, names=None):
        self.record, self.instances, self.database = record, instances, database
        self.names = names or instances.names
        self.clients, self.pause_s = clients, pause_s
        self.acknowledged = {}
        self.sent = 0
        self.tasks = []
        self.stopping = False

    def start(self):
        for number in range(self.clients):
            name = self.names[number % len(self.names)]
            task = self.run(f"c{number}", self.instances.front(name))
            self.tasks.append(asyncio.get_running_loop().create_task(task))

    async def run(self, name, address):
        client = Client(self.record, name, address, self.database)
        # `wait_for` can lose a cancellation that arrives together with its result.
        while not self.stopping:
            id = f"{random.getrandbits(64):016x}"
            text = f"WRITE item{random.randrange(200)} {name}-{self.sent}"
            try:
                if client.writer is None:
                    await client.connect()
                self.sent += 1
                self.record.line(f"client {name}: QUERY {id} {text}")
                word, rest, _, state = await client.query(id, text)
                self.record.line(f"client {name}: {id} -> {word} {rest}")
                if word == "DONE":
                    self.acknowledged[id] = elapsed()
                if state != "I":
                    client.close()
            except (OSError, asyncio.TimeoutError, ConnectionError) as error:
                self.record.line(f"client {name}: {id} -> no answer ({error})")
                client.close()
            await asyncio.sleep(self.pause_s)

    async def stop(self):
        self.stopping = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def configuration(service, max_conns, sync_replicas, timeout_ms=800, tx_idle_ms=3000):
    """A configuration as the operator writes it."""
    def route(host, kind, staleness):
        return {"name": f"r-{host}", "host": host, "path_prefix": "/", "kind": kind,
                "timeout_ms": timeout_ms, "slo_ms": 150, "priority": 1, "service": service,
                "max_attempts": 2, "max_staleness_ms": staleness}
    return {
        "version": 3,
        "routes": [route("orders", "primary", 0), route("views", "bounded", 1500),
                   route("status", "read_your_writes", 2500)],
        "services": [{"name": service, "health_path": "/health", "max_conns": max_conns,
                      "protocol": "h1", "tls": False, "sync_replicas": sync_replicas}],
        "limits": {"tx_idle_ms": tx_idle_ms},
    }


BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 4000, "ack_ms": 5000,
    "catchup_s": 4, "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 3000, "downgrade_slack_ms": 250, "max_skew_ms": 12000,
    "recovery_s": 12, "require_fence": True, "thaw_ms": 300,
}
