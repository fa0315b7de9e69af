"""A stand-in for one group of model engines, as PROTOCOL.md describes it, and a proxy.

All ranks begin each pass together; an idle group makes no passes. Each pass brings every
stream that runs one event. Rank 0 does not begin a pass that is held before ``go`` for
the same pass arrives; a hold does not expire.
"""

import asyncio
import contextlib
import json
import random
import socket
import struct

import fleet as fl

SETS, EXPERTS, PLACES, SPARE, SLOTS = 3, 16, 6, 2, 6
PASS_S = 0.04
COPY_S = 0.148  # for one expert
CHOICES = 2000  # by rank, set and pass
ENGINE_MODEL = {
    "slots": SLOTS,
    "kv_capacity": 247000,
    "link_mbps": 92000.0,
    "stride": 6,
    "step_ms": 4.84,
    "per_seq_ms": 0.724,
    "context_per_k": 0.022,
    "read_per_s": 74800.0,
    "pairs_per_m": 0.232,
    "chunk": 512,
    "usual": {"prompt": 835, "answer": 159},
    "sets": SETS,
    "experts": EXPERTS,
    "places": PLACES,
    "spare": SPARE,
    "expert_mb": 1700.0,
    "expert_share": 0.85,
    "form_ms": 600.0,
}


class Group:
    """The state that the ranks of a group share."""

    def __init__(self, size, record, seed=1):
        self.size = size
        self.record = record
        self.epoch = 1
        self.step = 0
        self.held = 0
        self.ranks = []
        self.on_hold = None
        self.mixed = []
        self._rng = random.Random(seed)
        self.demand = []
        self.shift_demand()

    def shift_demand(self):
        """Put other experts in demand."""
        self.demand = []
        for _ in range(SETS):
            weights = [1.0 / (1 + number) ** 1.6 for number in range(EXPERTS)]
            self._rng.shuffle(weights)
            self.demand.append([w / sum(weights) for w in weights])

    async def run(self):
        """Make passes while there is work."""
        while True:
            await asyncio.sleep(PASS_S)
            if not any(rank.streams for rank in self.ranks):
                continue
            if self.held == self.step + 1:
                continue
            self.step += 1
            for rank in self.ranks:
                rank.begin_pass(self.step)
            if len({rank.map_version for rank in self.ranks}) > 1:
                self.mixed.append(self.step)


class Rank(fl.Server):
    """One rank: its pages, its orders and the streams that run there."""

    def __init__(self, name, service, group, index):
        super().__init__()
        self.name = name
        self.service = service
        self.group = group
        self.index = index
        self.record = group.record
        self.state = "ready"
        self.born = 1
        self.map_version = 0
        held = [e for e in range(EXPERTS) if e % group.size == index]
        self.experts = [list(held) for _ in range(SETS)]
        self.highest = 0
        self.prepared = 0
        self.prepared_experts = []
        self.armed = None
        self.seq = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.streams = []
        self.waiting = []
        self.runs = []
        group.ranks.append(self)

    describe = fl.Engine.describe

    def begin_pass(self, step):
        """Begin a pass: switch the map, count choices, write an event of each stream."""
        if self.armed and self.armed[1] == step:
            self.map_version, self.experts = self.armed[0], self.prepared_experts
            self.armed, self.prepared = None, 0
        for number, weights in enumerate(self.group.demand):
            for expert, weight in enumerate(weights):
                self.counts[number * EXPERTS + expert] += round(weight * CHOICES)
        while self.waiting and len(self.streams) < SLOTS:
            self.streams.append(self.waiting.pop(0))
        for pass_event in list(self.streams):
            pass_event.set()

    def report(self):
        """Return the page of the rank's state."""
        group = self.group
        return {
            "stage": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": self.seq,
            "waiting": len(self.waiting),
            "running": len(self.streams),
            "kv_used": 0,
            "kv_total": 247000,
            "handles": 0,
            "pace": 1.0,
            "born": self.born,
            "group": {
                "name": "g",
                "epoch": group.epoch,
                "rank": self.index,
                "state": "open",
            },
            "size": group.size,
            "step": group.step,
            "map": self.map_version,
            "prepared": self.prepared or None,
            "armed": {"version": self.armed[0], "step": self.armed[1]}
            if self.armed
            else None,
            "held": (group.held or None) if self.index == 0 else None,
        }

    async def handle(self, method, path, fields, body, reader, writer):
        if path == "/report":
            return await self._answer(writer, 200, self.report())
        if path == "/picked":
            page = {"step": self.group.step, "epoch": 1, "counts": self.counts}
            return await self._answer(writer, 200, page)
        if path.startswith("/picked?"):
            page = {
                "map": {"version": self.map_version, "experts": self.experts},
                "prepared": {
                    "version": self.prepared,
                    "experts": self.prepared_experts,
                },
            }
            return await self._answer(writer, 200, page)
        if path == "/order":
            order = json.loads(body)
            status = self.apply(order)
            self.record.write(
                f"rank {self.index} gets order {order['op']} version"
                f" {order.get('version')} step {order.get('step')}: {status}"
            )
            if order["op"] == "hold" and status == 202 and self.group.on_hold:
                self.group.on_hold()
            return await self._answer(writer, status, {})
        if fields.get("expect-instance", self.name) != self.name:
            writer.write(
                fl.make_head(421, [("Instance-Id", self.name), ("Content-Length", "0")])
            )
            return True
        return await self._serve_stream(fields, path, method, body, reader, writer)

    async def _answer(self, writer, status, page):
        data = json.dumps(page).encode()
        head = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        writer.write(fl.make_head(status, head) + data)
        await writer.drain()
        return True

    def apply(self, order):
        """Carry an order out; return the status of its response."""
        group = self.group
        if order.get("epoch", group.epoch) != group.epoch:
            return 409
        if order.get("expected") not in (None, self.seq):
            return 409
        status = getattr(self, "_" + order["op"])(order)
        self.seq += status == 202
        return status

    def _prepare(self, order):
        version = order["version"]
        if self.armed or version <= self.highest:
            return 409
        experts = [by_rank[self.index] for by_rank in order["map"]]
        added = [
            len(set(new) - set(old))
            for new, old in zip(experts, self.experts, strict=True)
        ]
        if max(added) > SPARE or max(map(len, experts)) > PLACES:
            return 409
        self.highest = version
        loop = asyncio.get_running_loop()
        loop.call_later(COPY_S * sum(added), self._finish_copy, version, experts)
        return 202

    def _finish_copy(self, version, experts):
        if self.highest == version:
            self.prepared, self.prepared_experts = version, experts

    def _arm(self, order):
        if (order["version"], order["step"]) == self.armed:
            return 200
        if self.prepared != order["version"] or self.group.step >= order["step"]:
            return 409
        self.armed = (order["version"], order["step"])
        return 202

    def _hold(self, order):
        group = self.group
        if group.held == order["step"]:
            return 200
        if group.held or group.step >= order["step"] or self.index != 0:
            return 409
        group.held = order["step"]
        return 202

    def _go(self, order):
        if self.group.held != order["step"]:
            return 409
        self.group.held = 0
        return 202

    async def _serve_stream(self, fields, path, method, body, reader, writer):
        attempt = fields.get("attempt-id", "")
        self.runs.append({"attempt": attempt, "at": self.record.now()})
        pass_event = asyncio.Event()
        self.waiting.append(pass_event)
        if len(self.streams) < SLOTS:
            self.streams.append(self.waiting.pop(0))
        work = asyncio.create_task(self._write_events(pass_event, fields, writer))
        watch = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
            self.record.write(
                f"rank {self.index} {'ends' if work.done() else 'loses'} {attempt}"
            )
        finally:
            for task in (work, watch):
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await task
            for queue in (self.streams, self.waiting):
                if pass_event in queue:
                    queue.remove(pass_event)
        return False

    async def _write_events(self, pass_event, fields, writer):
        first = int(fields.get("last-event-id", "0")) + 1
        for number in range(first, 27):
            await pass_event.wait()
            pass_event.clear()
            if number == first:
                head = [
                    ("Attempt-Id", fields.get("attempt-id", "")),
                    ("Server-Stamp", f"stamp.{self.name}"),
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked"),
                    ("Weight-Versions", "1"),
                    ("Connection", "close"),
                ]
                writer.write(fl.make_head(200, head))
            data = f"id: {number}\ndata: piece-{number}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Proxy:
    """Passes connections on to another address, and can reset them."""

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.writers = set()
        self.server = None

    async def listen(self, host, port, target_host, target_port):
        """Pass connections to an address on."""
        self._target = (target_host, target_port)
        self.server = await asyncio.start_server(self._pass_on, host, port)

    async def _pass_on(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await asyncio.wait(
                {
                    asyncio.create_task(self._copy(reader, far_writer)),
                    asyncio.create_task(self._copy(far_reader, writer)),
                },
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self.writers.discard(writer)
            far_writer.transport.abort()
            writer.transport.abort()

    async def _copy(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()

    def reset(self):
        """Reset the connections that are open now; new ones work."""
        for writer in list(self.writers):
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        self.record.write(f"{len(self.writers)} connection of {self.name} is reset")

    async def close(self):
        """Stop listening and drop all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
