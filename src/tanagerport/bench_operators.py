"""Operators of the bench: changes of classes, rollouts and their traces."""

import asyncio
import base64
import dataclasses
import json
import time
import uuid
from collections.abc import Mapping, Sequence
from typing import Any

from tanagerport.bench_history import ClassChange, MoveHistory, MoveWrite, Probe
from tanagerport.bench_plan import Rollout
from tanagerport.bench_processes import BenchError, exchange_json
from tanagerport.bench_stage import OPERATOR_TOKEN, Side, Stage
from tanagerport.bench_topology import PLATFORM
from tanagerport.bench_workload import MODEL, SERVICE
from tanagerport.config_records import (
    RecordBody,
    class_key,
    conviction_key,
    encode,
    move_key,
)
from tanagerport.model import MoveState, UpstreamKind, VersionMove, WorkClass

_PROBE_INTERVAL_S = 0.2
_PROBE_TIMEOUT_S = 0.5
_OPERATOR_TIMEOUT_S = 8.0
_UNKNOWN_CLASS = "unknown_class"


class Operators:
    """Changes the configuration of one side and records what came of it.

    Product operators use the nodes' interface. The naive router has none:
    its operators write the records into the store without conditions.

    Args:
        stage: What runs.
        side: Side that the stage runs.
    """

    def __init__(self, stage: Stage, side: Side) -> None:
        self._stage = stage
        self._side = side
        self._base_classes = {
            item.work_class.name for item in stage.scenario.classes
        }
        self.changes: list[ClassChange] = []
        self.probes: list[Probe] = []
        self._move: tuple[Rollout, float, float] | None = None

    async def add_class(
        self, name: str, node_id: str, deadline_s: float = 3.0
    ) -> None:
        """Adds a class through a node and records the outcome."""
        sent_at = time.monotonic()
        work_class = dataclasses.asdict(_probe_class(name, deadline_s))
        if self._side is Side.NAIVE:
            status = await self._write_record(class_key(name), work_class)
        else:
            document = {
                "operator": f"operator at {node_id}",
                "classes": [work_class],
                "base_revisions": {class_key(name): 0},
                "operation_id": uuid.uuid4().hex,
            }
            status = await self._post(node_id, "/apply", document)
        self.changes.append(
            ClassChange(
                name, sent_at, time.monotonic(), status == 200, status == 409
            )
        )

    async def race(self, number: int) -> None:
        """Lets operators at two nodes change classes at the same time.

        Each adds a class of its own and both add one more class.
        """
        first, second = list(self._stage.nodes)[:2]
        await asyncio.gather(
            self.add_class(f"race-{number}-a", first),
            self.add_class(f"race-{number}-b", second),
            self.add_class(f"race-{number}-both", first, deadline_s=2.0),
            self.add_class(f"race-{number}-both", second, deadline_s=4.0),
        )

    async def start_move(self, rollout: Rollout, bad_from: float) -> None:
        """Starts a rollout.

        Args:
            rollout: Version and deadline.
            bad_from: Monotonic seconds from which the version is bad.

        Raises:
            BenchError: The rollout was not accepted.
        """
        if self._side is Side.NAIVE:
            now = time.time()
            move = VersionMove(
                MODEL, "v1", rollout.version, now + rollout.deadline_s, now
            )
            value = dataclasses.asdict(move)
            status = await self._write_record(move_key(MODEL), value)
        else:
            document = {
                "model": MODEL,
                "version": rollout.version,
                "deadline_s": rollout.deadline_s,
                "operator": "bench",
                "operation_id": uuid.uuid4().hex,
            }
            node_id = next(iter(self._stage.nodes))
            status = await self._post(node_id, "/moves", document)
        if status != 200:
            raise BenchError(f"the rollout was refused with status {status}")
        self._move = rollout, time.monotonic(), bad_from

    async def probe(self) -> None:
        """Asks every node, again and again, for the added classes."""
        while True:
            started = time.monotonic()
            names = {item.name for item in self.changes if item.accepted}
            await asyncio.gather(
                *(
                    self._probe(node_id, name)
                    for node_id in self._stage.nodes
                    for name in names
                )
            )
            wait_s = started + _PROBE_INTERVAL_S - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))

    async def move_history(self) -> MoveHistory | None:
        """Returns what the store says of the rollout."""
        if self._move is None:
            return None
        rollout, accepted_at, bad_from = self._move
        log = await self._stage.administer(PLATFORM, "log")
        writes = _decoded_writes(log["writes"])
        records = [
            (at, value) for key, at, value in writes if key == move_key(MODEL)
        ]
        last = records[-1][1] if records else {}
        ended = last.get("ended")
        return MoveHistory(
            model=MODEL,
            version=rollout.version,
            accepted_at=accepted_at,
            deadline_at=accepted_at + rollout.deadline_s,
            bad_from=bad_from if rollout.is_bad else None,
            bad_at_first=rollout.is_bad_at_first,
            state=last.get("state", ""),
            ended_at=None if ended is None else _to_monotonic(ended),
            convicted_at=_convicted_at(writes, rollout.version),
            writes=tuple(
                MoveWrite(
                    at,
                    value.get("state", ""),
                    value.get("share", 0.0),
                    value.get("fencing_token", 0),
                )
                for at, value in records
            ),
        )

    async def lease_holder(self) -> str:
        """Returns the node that holds the lease of the rollout.

        Raises:
            BenchError: No node holds it.
        """
        url = self._stage.topology.direct_address(PLATFORM)
        status, record = await asyncio.to_thread(
            exchange_json,
            "GET",
            f"http://{url}/table/records/lease/mover/{MODEL}",
        )
        holder = ""
        if status == 200:
            body = json.loads(base64.b64decode(record["value"]))
            holder = body.get("holder", "")
        if holder not in self._stage.nodes:
            raise BenchError("no node holds the lease of the rollout")
        return holder

    async def _probe(self, node_id: str, name: str) -> None:
        node = self._stage.nodes[node_id]
        try:
            status, answer = await asyncio.to_thread(
                exchange_json,
                "POST",
                f"http://{node.address}/services/{SERVICE}/probe",
                {},
                {"X-Class": name, "X-Customer": "operators"},
                _PROBE_TIMEOUT_S,
            )
        except BenchError:
            return
        known: bool | None = None
        if status == 200:
            known = True
        elif _reason(answer) == _UNKNOWN_CLASS:
            known = False
        self.probes.append(Probe(node_id, name, time.monotonic(), known))

    async def _post(
        self, node_id: str, path: str, document: Mapping[str, Any]
    ) -> int:
        address = self._stage.nodes[node_id].operator_address
        try:
            status, _ = await asyncio.to_thread(
                exchange_json,
                "POST",
                f"http://{address}{path}",
                document,
                {
                    "Authorization": f"Bearer {OPERATOR_TOKEN}",
                    "Content-Type": "application/json",
                },
                _OPERATOR_TIMEOUT_S,
            )
        except BenchError:
            return 0
        return status

    async def _write_record(self, key: str, value: dict[str, Any]) -> int:
        body = RecordBody(0, "naive", uuid.uuid4().hex, time.time(), value)
        content = base64.b64encode(encode(body)).decode()
        address = self._stage.topology.direct_address(PLATFORM)
        try:
            status, _ = await asyncio.to_thread(
                exchange_json,
                "POST",
                f"http://{address}/table/transact",
                {
                    "conditions": [],
                    "writes": [{"key": key, "value": content}],
                },
            )
        except BenchError:
            return 0
        return status


def _probe_class(name: str, deadline_s: float) -> WorkClass:
    return WorkClass(
        name,
        3,
        UpstreamKind.SERVICE,
        SERVICE,
        first_token_target_s=1.0,
        deadline_s=deadline_s,
    )


def _reason(answer: Any) -> str:
    try:
        return str(answer["error"]["reason"])
    except (KeyError, TypeError):
        return ""


def _decoded_writes(
    writes: Sequence[Mapping[str, Any]],
) -> list[tuple[str, float, dict[str, Any]]]:
    """Returns key, monotonic time and value of the table's writes."""
    decoded = []
    for entry in writes:
        for write in entry.get("writes", ()):
            if not write["key"].startswith(("move/", "conviction/")):
                continue
            body = json.loads(base64.b64decode(write["value"] or "") or b"{}")
            at = _to_monotonic(entry["at"])
            decoded.append((write["key"], at, body.get("value") or {}))
    return decoded


def _convicted_at(
    writes: Sequence[tuple[str, float, dict[str, Any]]], version: str
) -> float | None:
    times = [
        at
        for key, at, value in writes
        if key == conviction_key(MODEL, version)
        or value.get("state") == MoveState.TAKEN_BACK
    ]
    return min(times, default=None)


def _to_monotonic(epoch_s: float) -> float:
    return epoch_s - time.time() + time.monotonic()
