"""Machines are stopped and started in turn while streams run."""

import asyncio
import dataclasses
import itertools
import math
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "world2"))
import world  # noqa: E402

FOLDER = pathlib.Path(__file__).parent
SERVICE = "dresser-model"
ZONES = {"qc-east-a": "qc-east", "qc-east-b": "qc-east"}
CLIENTS = 100
ROUNDS = 5
# Events of an answer: median, spread of its logarithm, most; and the time
# between two of them.
EVENTS = (28, 1.5, 640)
INTERVAL_S = 0.04
TOKENS_PER_EVENT = 6
GRACE_S = 8.0
TIMEOUT_S = 12.0
# Bounds of the rule: requests that are sent later than this after the signal
# are not excused by the end of the grace.
EXCUSED_S = 3.0


@dataclasses.dataclass
class Sent:
    """A request of a client.

    Attributes:
        attempt: Its id.
        node: Machine that took it.
        at: When its last byte was sent.
        ended_at: When its answer, or the connection, ended.
        is_whole: Whether the answer was complete.
        status: Status of the answer; 0 without one.
    """

    attempt: str
    node: str
    at: float
    ended_at: float = 0.0
    is_whole: bool = False
    status: int = 0


async def run(
    worker: world.Worker,
    first: str,
    fields: world.Headers,
    body: bytes,
    writer: asyncio.StreamWriter,
) -> None:
    """Streams the number of events that the body asks for."""
    await asyncio.sleep(random.uniform(0.03, 0.1))
    head = worker.seal(
        fields, Content_Type="text/event-stream", Transfer_Encoding="chunked"
    )
    lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in head.items())]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    for number in range(1, int(body) + 1):
        event = b"id: %d\ndata: text\n\n" % number
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await asyncio.sleep(INTERVAL_S)
    writer.write(b"0\r\n\r\n")
    worker.record.write("ran", worker=worker.worker_id, id=fields["attempt-id"])


class Clients:
    """Clients that keep their connections, and the balancer before them.

    Args:
        deployment: The deployment.
    """

    def __init__(self, deployment: world.World) -> None:
        self._deployment = deployment
        self._misses = dict.fromkeys(deployment.nodes, 0)
        self._ids = itertools.count()
        self.sent: list[Sent] = []

    async def balance(self) -> None:
        """Asks each machine once a second; two misses take it out."""
        while True:
            for node in self._misses:
                is_ready = await node.is_ready()
                self._misses[node] = 0 if is_ready else self._misses[node] + 1
            await asyncio.sleep(1)

    async def run(self) -> None:
        """Sends one request after the other on kept connections."""
        while True:
            nodes = [n for n, misses in self._misses.items() if misses < 2]
            node = random.choice(nodes or self._deployment.nodes)
            try:
                reader, writer = await asyncio.open_connection(
                    node.ip, node.port
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while await self._ask(node, reader, writer):
                    await asyncio.sleep(random.uniform(0, 0.1))
            except OSError:
                pass
            finally:
                writer.transport.abort()

    async def _ask(
        self,
        node: world.Node,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends a request; returns whether the connection may be used again."""
        attempt = f"{next(self._ids):016x}"
        median, spread, most = EVENTS
        events = median * math.exp(random.gauss(0, spread))
        events = min(max(round(events), 1), most)
        record = self._deployment.record
        record.write("sent", id=attempt, node=node.name, events=events)
        writer.write(
            world.request(
                "POST",
                "/notes/a",
                attempt,
                b"%d" % events,
                Deadline_Ms=f"{TIMEOUT_S * 1000:.0f}",
                Model="m",
                Token_Usage=f"600,{most * TOKENS_PER_EVENT}",
                Length_Hint=f"{median * TOKENS_PER_EVENT}",
                Prefix_Hash=f"{random.randrange(20):x}:60,{attempt}:540",
            )
        )
        sent = Sent(attempt, node.name, _now())
        self.sent.append(sent)
        answer = world.Answer()
        try:
            async with asyncio.timeout(TIMEOUT_S + 1):
                answer = await world.read_answer(reader)
        except TimeoutError:
            pass
        sent.ended_at = _now()
        sent.is_whole, sent.status = answer.is_whole, answer.status
        record.write(
            "answered", id=attempt, status=sent.status, whole=sent.is_whole
        )
        if sent.status == 503:
            await asyncio.sleep(
                min(float(answer.fields.get("retry-after", "0.3")), 2)
            )
        return sent.is_whole and answer.fields.get("connection") != "close"


def is_cut(sent: Sent) -> bool:
    """Whether the connection ended without an answer, before the deadline."""
    return (
        bool(sent.ended_at)
        and not sent.is_whole
        and sent.ended_at < sent.at + TIMEOUT_S - 0.1
    )


async def stop_in_turn(deployment: world.World) -> list[tuple[str, float]]:
    """Stops each machine and starts it again; returns when it was told."""
    signals = []
    for node in deployment.nodes * ROUNDS:
        signals.append((node.name, _now()))
        deployment.record.write("sigterm", node=node.name)
        node.send(signal.SIGTERM)
        told_at = _now()
        assert node.process is not None
        while node.process.poll() is None and _now() < told_at + GRACE_S:
            await asyncio.sleep(0.02)
        deployment.record.write(
            "ended", node=node.name, exit=node.process.poll()
        )
        node.stop()
        node.start()
        while not await node.is_ready():
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
    return signals


async def case(has_trouble: bool) -> bool:
    """Returns whether no request was lost around the planned stops."""
    deployment = world.World(FOLDER, ZONES, 1)
    record = deployment.record
    deployment.workers += [
        world.Worker(f"i-{n:08x}", SERVICE, zone, 13, record, run)
        for n, zone in enumerate([*ZONES] * 4 + ["qc-east-a"], 0x5C0)
    ]
    try:
        await deployment.start(
            world.configuration(
                2,
                [
                    world.route(
                        "notes",
                        "streaming",
                        SERVICE,
                        timeout_ms=TIMEOUT_S * 1000,
                        target_latency_ms=600,
                        target_itl_ms=200,
                    )
                ],
                [
                    {
                        "name": SERVICE,
                        "max_connections": 360,
                        "inference_engine": {
                            "slot_count": 13,
                            "step_size": TOKENS_PER_EVENT,
                        },
                    }
                ],
            )
        )
        clients = Clients(deployment)
        deployment.run_task(clients.balance())
        for _ in range(CLIENTS):
            deployment.run_task(clients.run())
        await asyncio.sleep(5)
        signals: list[tuple[str, float]] = []
        if has_trouble:
            signals = await stop_in_turn(deployment)
        else:
            await asyncio.sleep(30)
        reached = {
            attempt for w in deployment.workers for _, attempt, _ in w.arrivals
        }
        lost = [
            (sent, sent.at - at, sent.ended_at - at)
            for sent in clients.sent
            for name, at in signals
            if sent.node == name
            and at + EXCUSED_S < sent.at < at + GRACE_S + 1
            and sent.attempt in reached
            and is_cut(sent)
        ]
        cut_without_stop = not signals and any(map(is_cut, clients.sent))
        for sent, at, ended in lost:
            record.write(
                "lost",
                id=sent.attempt,
                node=sent.node,
                sent_after=f"{at:.3f}",
                cut_after=f"{ended:.3f}",
            )
            print(
                f"lost: sent {at:.2f} s after the signal, cut {ended:.2f} s"
                " after it"
            )
        print(f"{len(lost)} lost of {len(clients.sent)}")
        return not lost and not cut_without_stop
    finally:
        await deployment.stop()


def _now() -> float:
    return asyncio.get_running_loop().time()


world.run_case(case)
