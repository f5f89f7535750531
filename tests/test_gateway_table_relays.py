"""Tests of watching a table at nodes that are nearer to the store."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import pytest

import gateway_doubles
import platform_standin as standin
from tanagerport.clock import FakeClock
from tanagerport.exceptions import StoreUnavailableError
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.internal_server import InternalServer
from tanagerport.gateway.peer_exchange import NodeReport, PeerExchange
from tanagerport.gateway.restored_rows import RestoredRows
from tanagerport.gateway.store_watch import TableWatch
from tanagerport.gateway.table_copy import (
    TableChanges,
    TableCopy,
    decode_changes,
)
from tanagerport.gateway.table_exchange import (
    RelayedChanges,
    TableClient,
    TableResponse,
    TableServer,
)
from tanagerport.gateway.table_relays import TableRelays, is_nearer
from tanagerport.gateway.table_store import Row, StoreVersion, TableRows

_TARGET = "/tables?table=op&after={after}&era={era}&wait_ms=400"


def _make_copy() -> TableCopy:
    copy = TableCopy()
    copy.replace(TableRows((Row("a", b"1", 7, 2),), 7, 2))
    return copy


def _change(copy: TableCopy) -> None:
    copy.apply_changes(TableRows((Row("a", b"2", 9, 2),), 9, 2))


class TestWaiting:
    """Guards against a relay that says more than the store told it."""

    def _respond(
        self,
        copy: TableCopy,
        clock: FakeClock,
        meanwhile: Callable[[], object],
        after: int = 7,
        era: int = 2,
    ) -> TableResponse:
        server = TableServer({"op": copy}, 100.0, clock.monotonic)

        async def run() -> TableResponse:
            response = asyncio.create_task(
                server.respond(_TARGET.format(after=after, era=era))
            )
            await gateway_doubles.run_pending_tasks()
            meanwhile()
            return await response

        return asyncio.run(run())

    def test_change_ends_the_wait(self) -> None:
        copy = _make_copy()
        copy.confirm(100.0)
        response = self._respond(copy, FakeClock(101.0), lambda: _change(copy))
        assert (response.status, response.age_s) == (200, 1.0)
        changes = decode_changes(response.body, 10**6)
        assert (changes.version, changes.rows) == (9, [("a", b"2", 9)])

    def test_response_of_the_store_ends_the_wait(self) -> None:
        """Guards against readers that learn late that the store is away."""
        copy = _make_copy()
        clock = FakeClock(100.5)
        response = self._respond(copy, clock, lambda: copy.confirm(100.5))
        assert response == TableResponse(204, b"", 0.0)

    @pytest.mark.parametrize(
        ("confirmed_at", "after", "era", "status"),
        [
            # The node has not heard of the store for too long, or never.
            (97.0, 7, 2, 409),
            (None, 7, 2, 409),
            # The requester knows more, but not of a later era.
            (100.0, 8, 2, 204),
            (100.0, 3, 3, 409),
            # The requester has rows of an earlier era.
            (100.0, 99, 1, 200),
        ],
    )
    def test_status(
        self, confirmed_at: float | None, after: int, era: int, status: int
    ) -> None:
        copy = _make_copy()
        if confirmed_at is not None:
            copy.confirm(confirmed_at)
        response = self._respond(
            copy, FakeClock(100.0), lambda: None, after, era
        )
        assert response.status == status

    def test_relay_that_is_behind_answers_with_the_next_change(self) -> None:
        """Guards against readers that leave relays which lag a little."""
        copy = _make_copy()
        copy.confirm(100.0)
        response = self._respond(
            copy, FakeClock(100.5), lambda: _change(copy), after=8
        )
        assert response.status == 200
        assert decode_changes(response.body, 10**6).rows == [("a", b"2", 9)]

    def test_malformed_wait_gets_no_rows(self) -> None:
        server = TableServer({"op": _make_copy()}, 100.0)
        target = "/tables?table=op&after=1&wait_ms=-5"
        assert asyncio.run(server.respond(target)).status == 404


async def _await_changes(client: TableClient, after: int) -> RelayedChanges:
    return await client.await_changes(
        standin.HOST, "op", StoreVersion(2, after), 2.0
    )


class TestCalls:
    """Guards against watches that fail between processes."""

    def _run(
        self,
        copy: TableCopy,
        scenario: Callable[[TableClient], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            port = standin.free_port()
            server = InternalServer(
                b"/-/readyz",
                lambda: True,
                Counters(),
                TableServer({"op": copy}, 100.0),
                gateway_doubles.make_quarantine(lambda: 0.0),
                list,
            )
            await server.start(standin.HOST, port)
            await scenario(TableClient(port))

        asyncio.run(run())

    def test_change_arrives(self) -> None:
        copy = _make_copy()

        async def scenario(client: TableClient) -> None:
            now = asyncio.get_running_loop().time
            copy.confirm(now())
            waiting = asyncio.create_task(_await_changes(client, 7))
            await asyncio.sleep(0.2)
            _change(copy)
            relayed = await waiting
            assert relayed.changes is not None
            assert relayed.changes.version == 9
            assert 0.1 < relayed.age_s < 1.0
            confirmed = asyncio.create_task(_await_changes(client, 9))
            await asyncio.sleep(0.2)
            copy.confirm(now())
            assert (await confirmed).changes is None

        self._run(copy, scenario)

    def test_unconfirmed_rows_are_refused(self) -> None:
        async def scenario(client: TableClient) -> None:
            with pytest.raises(StoreUnavailableError, match="409"):
                await client.await_changes(
                    standin.HOST, "op", StoreVersion(2, 7), 0.1
                )

        self._run(_make_copy(), scenario)


class _Store:
    """A store that has version 7 and then waits."""

    def __init__(self) -> None:
        self.watched = 0

    async def read(self, table: str) -> TableRows:
        del table
        return TableRows((Row("a", b"1", 7),), 7)

    async def watch(self, table: str, after: int, wait_s: float) -> TableRows:
        del table, after, wait_s
        self.watched += 1
        await asyncio.Event().wait()
        raise AssertionError


class _Relay:
    """Fetcher whose watches return or raise the given results in turn."""

    def __init__(
        self, *results: RelayedChanges | StoreUnavailableError
    ) -> None:
        self._results = list(results)
        self.watched: list[StoreVersion] = []

    async def fetch(
        self, host: str, table: str, after: StoreVersion
    ) -> TableChanges:
        raise StoreUnavailableError(f"{host} has no {table} after {after}")

    async def await_changes(
        self, host: str, table: str, after: StoreVersion, wait_s: float
    ) -> RelayedChanges:
        del host, table, wait_s
        self.watched.append(after)
        if not self._results:
            await asyncio.Event().wait()
        result = self._results.pop(0)
        if isinstance(result, StoreUnavailableError):
            raise result
        return result


def _changes(
    version: int, era: int = 0, is_whole: bool = False
) -> TableChanges:
    return TableChanges(is_whole, version, [("a", b"2", version)], era)


class TestWatch:
    """Guards against a node that depends on its relay."""

    def _run(
        self, relay: _Relay, hosts: Sequence[str] = ("10.0.0.2",)
    ) -> tuple[TableWatch, _Store, list[int]]:
        clock = FakeClock(100.0)
        store = _Store()
        applied: list[int] = []

        async def pause(seconds: float) -> None:
            del seconds
            clock.advance(1.0)
            await asyncio.sleep(0)

        async def run() -> TableWatch:
            watch = TableWatch(
                store,  # type: ignore[arg-type]
                "op",
                TableCopy(),
                relay,
                lambda: None,
                lambda: 1.5,
                RestoredRows(lambda row: None, keeps_missing=True),
                lambda rows: None,
                lambda rows: applied.append(rows.version),
                lambda is_reachable: None,
                DecisionLog("n"),
                clock.monotonic,
                pause,
                relays=TableRelays(lambda: hosts, clock.monotonic),
            )
            task = asyncio.create_task(watch.run())
            for _ in range(6):
                await gateway_doubles.run_pending_tasks()
            task.cancel()
            return watch

        return asyncio.run(run()), store, applied

    def test_changes_are_applied_with_the_age_of_the_relay(self) -> None:
        relay = _Relay(
            RelayedChanges(_changes(9), 0.2), RelayedChanges(None, 0.5)
        )
        watch, store, applied = self._run(relay)
        assert applied == [9]
        assert [after.number for after in relay.watched] == [7, 9, 9]
        assert store.watched == 0
        # Half a second at the relay, and a pause since.
        assert watch.own_response_age_s == pytest.approx(1.5)

    @pytest.mark.parametrize(
        "result",
        [
            StoreUnavailableError("refused"),
            # Rows that this node has already, and changes of another era.
            RelayedChanges(_changes(7), 0.0),
            RelayedChanges(_changes(9, era=1), 0.0),
        ],
    )
    def test_store_is_called_if_the_relay_fails(
        self, result: RelayedChanges | StoreUnavailableError
    ) -> None:
        relay = _Relay(result)
        _, store, applied = self._run(relay)
        assert (len(relay.watched), store.watched, applied) == (1, 1, [])

    def test_whole_table_of_a_later_era_is_applied(self) -> None:
        relay = _Relay(RelayedChanges(_changes(3, era=1, is_whole=True), 0.0))
        watch, _, _ = self._run(relay)
        assert watch.newest_row_version == StoreVersion(1, 3)

    def test_store_is_called_without_relays(self) -> None:
        relay = _Relay()
        _, store, _ = self._run(relay, [])
        assert (relay.watched, store.watched) == ([], 1)


class TestSelection:
    """Guards against relays that are no nearer, or no readers."""

    @pytest.mark.parametrize(
        ("round_trip_s", "own_s", "expected"),
        [
            (0.002, 0.024, True),
            (0.020, 0.024, False),
            (0.0, 0.024, False),
            # All of them are near.
            (0.0002, 0.003, False),
        ],
    )
    def test_is_nearer(
        self, round_trip_s: float, own_s: float, expected: bool
    ) -> None:
        assert is_nearer(round_trip_s, own_s) == expected

    def test_failed_relay_is_left_for_a_while(self) -> None:
        clock = FakeClock(100.0)
        relays = TableRelays(lambda: ["10.0.0.2"], clock.monotonic)
        assert relays.select() == "10.0.0.2"
        relays.record_failure()
        assert relays.select() is None
        clock.advance(3.1)
        assert relays.select() == "10.0.0.2"

    def test_fast_readers_of_another_region_are_selected(self) -> None:
        clock = FakeClock(100.0)
        exchange = PeerExchange(
            "10.1.0.1",
            "zone-a",
            {"zone-a": "r1", "zone-b": "r1", "zone-c": "r2"},
            1,
            lambda sequence, hosts: pytest.fail("no report is due"),
            lambda report: None,
            lambda node: None,
            DecisionLog("n"),
            clock.monotonic,
        )
        for number, (
            zone,
            age_ms,
            round_trip_us,
            link_mbps,
            leaves,
        ) in enumerate(
            [
                ("zone-b", 100, 2000, 100, False),
                ("zone-c", 100, 2000, 5, False),
                ("zone-c", 100, 2000, 100, False),
                ("zone-c", 60_000, 2000, 100, False),
                ("zone-c", 100, 30_000, 100, False),
                ("zone-c", 100, 0, 100, False),
                ("zone-c", 100, 2000, 100, True),
            ]
        ):
            report = NodeReport(
                f"n{number}", 1, 1, f"10.2.0.{number}", zone, (1, 1), [], [],
                5.0, False, [], [], [],
                table_ages_ms=(age_ms, age_ms),
                link_mbps=link_mbps,
                is_draining=leaves,
                store_round_trip_us=round_trip_us,
            )  # fmt: skip
            exchange._apply_report(report)
        assert exchange.nearer_readers(0, 0.024) == ["10.2.0.2", "10.2.0.1"]
        assert exchange.nearer_readers(0, 0.0) == []
