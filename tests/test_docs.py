"""Tests that the pages name what the code has."""

import pathlib

import pytest

from tanagerport.clock import FakeClock
from tanagerport.config_records import ConfigChange
from tanagerport.configuration import ConfigurationStore
from tanagerport.model import UpstreamKind, VersionMove, WorkClass
from tanagerport.node import create_node
from tanagerport.platform_memory import MemoryTableStore
from tanagerport.settings import Settings

_DOCS = pathlib.Path(__file__).parent.parent / "docs"


class TestMetricsPage:
    """Guards against metrics that operators can't look up."""

    def test_page_names_every_metric(self) -> None:
        node = create_node(
            Settings(
                node_id="node-1",
                zone="zone-a",
                region="region-a",
                listen="127.0.0.1:0",
                operator_listen="127.0.0.1:0",
                peer_listen="127.0.0.1:0",
                operator_token="operator-token",
                peer_token="peer-token",
            )
        )
        page = (_DOCS / "metrics.md").read_text()
        names = {family.name for family in node.metrics.registry.collect()}
        assert not [name for name in sorted(names) if f"`{name}`" not in page]


class TestCapacityPage:
    """Guards against a planned figure that the page passes over."""

    @pytest.mark.parametrize(
        "figure",
        [
            "600 nodes", "12,000 workers", "48,000 accelerators",
            "21,000 requests", "9.8 million tokens", "0.51 s", "39 ms",
            "3 hardware generations", "4 tiers", "2,500 customers",
            "21 models", "4 regions", "10 availability zones",
            "46,000 configuration changes", "20 s", "3.7%", "128 MB",
            "3 KB/s", "200 VM", "810",
        ],
    )  # fmt: skip
    def test_page_names_the_figure(self, figure: str) -> None:
        assert figure in (_DOCS / "CAPACITY.md").read_text()


class TestRepeatedOperation:
    """Guards against findings about an operation's own effect."""

    def test_started_move_is_accepted_again_with_its_operation_id(self) -> None:
        store = ConfigurationStore(
            MemoryTableStore(), FakeClock(), "node-1", seed=1
        )
        store.apply(
            ConfigChange(
                classes=(WorkClass("hint", 0, UpstreamKind.ENGINE, "tutor"),)
            ),
            "operator",
            "operation-0",
        )
        change = ConfigChange(
            moves=(VersionMove("tutor", "v1", "v2", 2e9, 1e9),)
        )
        first = store.apply(change, "operator", "operation-1")
        other = ConfigChange(
            moves=(VersionMove("tutor", "v1", "v3", 2e9, 1e9),)
        )
        assert store.apply(change, "operator", "operation-1") == first
        with pytest.raises(Exception, match="tutor"):
            store.apply(other, "operator", "operation-2")
