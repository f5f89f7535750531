"""Tests of `tanagerport.settings`."""

import dataclasses
import json
import pathlib

import pytest

from tanagerport.exceptions import SettingsError
from tanagerport.model import VM, WorkClass
from tanagerport.settings import (
    PlatformSettings,
    Settings,
    TimingSettings,
    load_settings,
    parse_settings,
)

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"

_MINIMAL = {
    "node_id": "node-1",
    "zone": "lm-burnaby",
    "region": "lower-mainland",
    "listen": "127.0.0.1:8080",
    "operator_listen": "127.0.0.1:8081",
    "peer_listen": "127.0.0.1:8082",
    "operator_token": "operator-secret",
    "peer_token": "peer-secret",
}


def _places(document: object) -> list[str]:
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(document).encode())
    return [finding.place for finding in caught.value.findings]


class TestParseSettings:
    """Guards against settings that are half checked."""

    def test_accepts_minimal_document(self) -> None:
        settings = parse_settings(json.dumps(_MINIMAL).encode())
        assert settings.timing.heartbeat_s == 0.25

    def test_reports_all_findings_with_their_place(self) -> None:
        """Guards against stopping at the first finding."""
        document = _MINIMAL | {
            "queue_limit": 0,
            "timing": {"heartbeat_s": -1},
            "classes": [{"name": "x", "tier": 9, "kind": "gpu", "model": "m"}],
        }
        assert set(_places(document)) == {
            "queue_limit",
            "timing.heartbeat_s",
            "classes.0.tier",
            "classes.0.kind",
        }

    def test_reports_misspelt_fields(self) -> None:
        """Guards against a misspelt field that silently keeps a default."""
        document = _MINIMAL | {"quue_limit": 5, "timing": {"hartbeat_s": 1}}
        assert set(_places(document)) == {"quue_limit", "timing.hartbeat_s"}

    def test_checks_addresses_and_order_of_bounds(self) -> None:
        document = _MINIMAL | {
            "listen": "localhost:80",
            "timing": {"suspect_after_s": 5.0},
        }
        assert set(_places(document)) == {"listen", "timing.dead_after_s"}

    def test_findings_do_not_show_secrets(self) -> None:
        """Guards against tokens in error messages."""
        document = _MINIMAL | {"operator_token": "short"}
        with pytest.raises(SettingsError) as caught:
            parse_settings(json.dumps(document).encode())
        assert "short" not in str(caught.value).split("\n", 1)[1].replace(
            "too_short", ""
        )

    def test_repr_does_not_show_secrets(self) -> None:
        """Guards against tokens in logs of the settings."""
        settings = parse_settings(json.dumps(_MINIMAL).encode())
        assert "secret" not in repr(settings)


class TestExamples:
    """Guards against examples that the program does not accept."""

    @pytest.mark.parametrize(
        "path", sorted(_EXAMPLES.glob("*/*.json")), ids=lambda path: path.name
    )
    def test_example_is_valid(self, path: pathlib.Path) -> None:
        load_settings(path)

    def test_there_are_eight_nodes_for_each_deployment(self) -> None:
        for deployment in ("quietword", "maison-obi"):
            paths = list((_EXAMPLES / deployment).glob("node-*.json"))
            assert len(paths) == 8


class TestSettingsPage:
    """Guards against settings that the docs do not name."""

    @pytest.mark.parametrize(
        "data_class",
        [Settings, PlatformSettings, TimingSettings, VM, WorkClass],
        ids=lambda data_class: data_class.__name__,
    )
    def test_page_names_every_field(self, data_class: type) -> None:
        page = (_EXAMPLES.parent / "docs" / "settings.md").read_text()
        missing = [
            field.name
            for field in dataclasses.fields(data_class)
            if f"| `{field.name}` |" not in page
        ]
        assert not missing
