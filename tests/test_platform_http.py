"""Tests of `tanagerport.platform_http` against the simulated platform."""

import json
from collections.abc import Iterator

import pytest
import urllib3

from tanagerport.exceptions import (
    OutcomeUnknownError,
    StoreConflictError,
    StoreUnavailableError,
)
from tanagerport.model import VM, VMRole
from tanagerport.platform_api import Condition, Write
from tanagerport.platform_http import (
    HttpObjectStore,
    HttpTableStore,
    HttpVMList,
    HttpWeightStore,
)
from tanagerport.standin_faults import ServiceFaults
from tanagerport.standin_platform import StandinPlatform

_VM = VM("n1", VMRole.ENTRY, "za", "r", "127.0.0.1:1")
_SET = ([Condition("class/a b", 0)], [Write("class/a b", b"\x00value")])


@pytest.fixture(name="platform")
def _platform() -> Iterator[StandinPlatform]:
    platform = StandinPlatform(vms=[_VM], versions=[("tutor", "v/2")])
    platform.start()
    yield platform
    platform.stop()


@pytest.fixture(name="table")
def _table(platform: StandinPlatform) -> HttpTableStore:
    return HttpTableStore(f"{platform.url}/table", 0.3)


class TestTable:
    """Guards against writes whose outcome is reported wrongly."""

    def test_round_trip(
        self, platform: StandinPlatform, table: HttpTableStore
    ) -> None:
        assert table.get("class/a b") is None
        table.transact(*_SET)
        record = table.get("class/a b")
        assert record is not None
        assert (record.revision, record.value) == (1, b"\x00value")
        assert [item.key for item in table.scan("class/")] == ["class/a b"]
        with pytest.raises(StoreConflictError) as caught:
            table.transact(*_SET)
        assert caught.value.keys == ("class/a b",)
        assert len(platform.log) == 1

    def test_down_service_is_unavailable_without_effect(
        self, platform: StandinPlatform, table: HttpTableStore
    ) -> None:
        platform.faults.set("table", ServiceFaults(down=True))
        with pytest.raises(StoreUnavailableError):
            table.transact(*_SET)
        with pytest.raises(StoreUnavailableError):
            table.get("head")
        platform.faults.set("table", ServiceFaults())
        assert table.get("class/a b") is None

    def test_lost_answer_is_unknown_and_sent_once(
        self, platform: StandinPlatform, table: HttpTableStore
    ) -> None:
        """Guards against a client library that repeats a write."""
        platform.faults.set("table", ServiceFaults(lose_answers=1))
        with pytest.raises(OutcomeUnknownError):
            table.transact(*_SET)
        assert len(platform.log) == 1
        assert table.get("class/a b") is not None

    def test_slow_write_is_unknown(
        self, platform: StandinPlatform, table: HttpTableStore
    ) -> None:
        platform.faults.set("table", ServiceFaults(delay_s=0.6))
        with pytest.raises(OutcomeUnknownError):
            table.transact(*_SET)
        with pytest.raises(StoreUnavailableError):
            table.get("head")

    def test_refused_connection_is_unavailable(self) -> None:
        table = HttpTableStore("http://127.0.0.1:9/table", 0.3)
        with pytest.raises(StoreUnavailableError):
            table.transact(*_SET)


class TestOtherServices:
    """Guards against formats that differ from section 2.4."""

    def test_objects(self, platform: StandinPlatform) -> None:
        objects = HttpObjectStore(f"{platform.url}/objects", 1.0)
        assert objects.get("x/y") is None
        objects.put("x/y", b"\xff")
        assert objects.get("x/y") == b"\xff"

    def test_vm_list_is_sent_again_only_if_it_changed(
        self, platform: StandinPlatform
    ) -> None:
        vm_list = HttpVMList(f"{platform.url}/vms", 1.0)
        assert list(vm_list.list_vms()) == [_VM]
        with urllib3.PoolManager() as pool:
            url = f"{platform.url}/vms"
            tag = pool.request("GET", url).headers["ETag"]
            again = pool.request("GET", url, headers={"If-None-Match": tag})
        assert (again.status, again.data) == (304, b"")
        assert list(vm_list.list_vms()) == [_VM]
        platform.set_vms([], lag_s=0.0)
        assert list(vm_list.list_vms()) == []
        platform.set_vms([_VM], lag_s=600.0)
        assert list(vm_list.list_vms()) == [_VM]

    def test_weights(self, platform: StandinPlatform) -> None:
        weights = HttpWeightStore(f"{platform.url}/weights", 1.0)
        assert weights.has_version("tutor", "v/2")
        assert not weights.has_version("tutor", "v3")
        assert weights.request_load("tutor", "v/2") == 0.0
        assert weights.request_load("tutor", "v/2") > 0.0

    def test_admin_checks_faults_and_lists_writes(
        self, platform: StandinPlatform, table: HttpTableStore
    ) -> None:
        """Guards against a scenario whose misspelt fault does nothing."""
        table.transact(*_SET)
        with urllib3.PoolManager() as pool:
            url = f"{platform.url}/admin"
            bad = pool.request(
                "POST",
                f"{url}/faults",
                json={"service": "tabel", "dwn": True, "delay_s": -1},
            )
            good = pool.request(
                "POST",
                f"{url}/faults",
                json={"service": "table", "lose_answers": True},
            )
            log = pool.request("GET", f"{url}/log")
        assert bad.status == 400
        assert len(json.loads(bad.data)["findings"]) == 3
        assert good.status == 200
        assert len(json.loads(log.data)["writes"]) == 1
        with pytest.raises(OutcomeUnknownError):
            table.transact([], [Write("x", b"")])
