"""Tests of `tanagerport.cache_events`."""

from collections.abc import Iterable, Iterator
from typing import Any

import pytest

from tanagerport.cache_events import CacheEventReader
from tanagerport.http_server import (
    Environ,
    HttpServer,
    StartResponse,
    json_response,
)
from tanagerport.model import VM, VMRole
from tanagerport.prefix_cache import CacheEvent

_STORED = {"type": "stored", "model": "m", "prefix_hash": 7, "sequence": 1}


class _Engine:
    """Engine that answers each read with the next scripted document."""

    def __init__(self) -> None:
        self.answers: list[Any] = []
        self.queries: list[str] = []
        self._server = HttpServer("127.0.0.1:0", self._answer, threads=2)
        self._server.start()
        self.vm = VM("e", VMRole.ENGINE, "z", "r", self._server.address)

    def stop(self) -> None:
        self._server.stop()

    def _answer(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        self.queries.append(environ["QUERY_STRING"])
        return json_response(start_response, 200, self.answers.pop(0))


@pytest.fixture
def engine() -> Iterator[_Engine]:
    engine = _Engine()
    yield engine
    engine.stop()


class TestCacheEventReader:
    """Guards against a prefix guess from events that were lost."""

    def _read(self, engine: _Engine, answers: list[Any]) -> list[Any]:
        taken: list[Any] = []
        reader = CacheEventReader(
            lambda name, events, gap: taken.append((name, list(events), gap))
        )
        engine.answers = answers
        for _ in range(len(answers)):
            reader.read(engine.vm)
        return taken

    def test_continues_where_it_ended_and_tells_gaps(
        self, engine: _Engine
    ) -> None:
        taken = self._read(
            engine,
            [
                {"events": [_STORED], "next": 4, "gap": False},
                {"events": [], "next": 9, "gap": True},
                {"events": [], "next": 9, "gap": False},
            ],
        )
        assert engine.queries == ["since=0", "since=4", "since=9"]
        assert taken == [
            ("e", [CacheEvent(True, "m", 7)], False),
            ("e", [], True),
        ]

    def test_restarted_engine_counts_as_a_gap(self, engine: _Engine) -> None:
        """Guards against keeping prefixes that a restart has dropped."""
        taken = self._read(
            engine,
            [
                {"events": [_STORED], "next": 50, "gap": False},
                {"events": [], "next": 2, "gap": False},
            ],
        )
        assert taken[-1] == ("e", [], True)

    def test_malformed_answer_changes_nothing(self, engine: _Engine) -> None:
        assert self._read(engine, [{"events": 3}, ["no"]]) == []
