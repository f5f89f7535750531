"""Settings of a node, read from JSON and checked whole."""

import dataclasses
import ipaddress
import pathlib
from collections.abc import Iterator, Mapping
from typing import Annotated, Any

import annotated_types
import pydantic

from tanagerport.exceptions import SettingsError
from tanagerport.findings import Finding
from tanagerport.model import FORBID_EXTRA, VM, WorkClass

_MAX_PORT = 65535

_Seconds = Annotated[float, annotated_types.Gt(0), annotated_types.Le(86400.0)]


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """Where the platform's services are.

    Attributes:
        table_url: Base URL of the table service; None uses memory.
        object_url: Base URL of the object store; None uses memory.
        vm_list_url: URL of the VM list; None uses `vms`.
        weight_url: Base URL of the weight store; None uses memory.
        timeout_s: Time limit of one platform call, in seconds.
        vms: VM list for a node without a platform.
    """

    __pydantic_config__ = FORBID_EXTRA

    table_url: str | None = None
    object_url: str | None = None
    vm_list_url: str | None = None
    weight_url: str | None = None
    timeout_s: _Seconds = 2.0
    vms: tuple[VM, ...] = ()


@dataclasses.dataclass(frozen=True)
class TimingSettings:
    """Intervals and bounds, in seconds.

    Attributes:
        heartbeat_s: Between heartbeats in a zone.
        remote_heartbeat_s: Between heartbeats to other zones.
        suspect_after_s: Silence after which a node is suspected.
        dead_after_s: Silence after which a node is treated as dead.
        grant_lifetime_s: Lifetime of a slot grant.
        head_poll_s: Between reads of the configuration's head.
        vm_poll_s: Between reads of the VM list.
        load_poll_s: Between reads of an engine's load report.
        connect_timeout_s: Bound of a connection attempt to an upstream.
        progress_timeout_s: Longest silence within an answer.
        connection_max_age_s: Age at which a pooled connection is closed.
        connection_max_idle_s: Idle time after which a pooled connection is
            not used again.
        claim_window_s: How long idempotency keys are remembered.
        drain_timeout_s: Longest wait for answers in progress at a stop.
        lease_s: Lifetime of the version mover's lease.
        monitor_window_s: Window of comparison between versions.
    """

    __pydantic_config__ = FORBID_EXTRA

    heartbeat_s: _Seconds = 0.25
    remote_heartbeat_s: _Seconds = 1.0
    suspect_after_s: _Seconds = 1.0
    dead_after_s: _Seconds = 3.0
    grant_lifetime_s: _Seconds = 2.0
    head_poll_s: _Seconds = 1.0
    vm_poll_s: _Seconds = 1.0
    load_poll_s: _Seconds = 1.0
    connect_timeout_s: _Seconds = 1.0
    progress_timeout_s: _Seconds = 2.0
    connection_max_age_s: _Seconds = 60.0
    connection_max_idle_s: _Seconds = 0.05
    claim_window_s: _Seconds = 600.0
    drain_timeout_s: _Seconds = 600.0
    lease_s: _Seconds = 10.0
    monitor_window_s: _Seconds = 60.0


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of a node.

    Attributes:
        node_id: Name of this VM, as in the VM list.
        zone: Availability zone of this VM.
        region: Region of the availability zone.
        listen: `ip:port` of callers' traffic.
        operator_listen: `ip:port` of the operators' interface.
        peer_listen: `ip:port` for other nodes.
        operator_token: Bearer token of operators.
        peer_token: Token that nodes show each other.
        platform: Platform services.
        timing: Intervals and bounds.
        classes: Classes written at the first start if the store holds none.
        customers: Accepted customers; empty accepts all.
        max_body_bytes: Bound of a request body.
        caller_threads: Concurrent caller connections.
        queue_limit: Waiting requests of one tier.
        link_bytes_per_s: Budget of the link between two regions.
        upstream_nodes: Nodes of a zone that serve one upstream.
        peer_addresses: `ip:port` of peers by node id, for example when a
            proxy stands between; overrides the VM list.
        log_level: Lowest level that is logged.
    """

    __pydantic_config__ = FORBID_EXTRA

    node_id: Annotated[
        str, annotated_types.MinLen(1), annotated_types.MaxLen(64)
    ]
    zone: Annotated[str, annotated_types.MinLen(1), annotated_types.MaxLen(64)]
    region: Annotated[
        str, annotated_types.MinLen(1), annotated_types.MaxLen(64)
    ]
    listen: str
    operator_listen: str
    peer_listen: str
    operator_token: Annotated[str, annotated_types.MinLen(8)] = (
        dataclasses.field(repr=False)
    )
    peer_token: Annotated[str, annotated_types.MinLen(8)] = dataclasses.field(
        repr=False
    )
    platform: PlatformSettings = PlatformSettings()
    timing: TimingSettings = TimingSettings()
    classes: tuple[WorkClass, ...] = ()
    customers: tuple[str, ...] = ()
    max_body_bytes: Annotated[
        int, annotated_types.Ge(1), annotated_types.Le(64 * 1024 * 1024)
    ] = 1024 * 1024
    caller_threads: Annotated[
        int, annotated_types.Ge(1), annotated_types.Le(2048)
    ] = 256
    queue_limit: Annotated[
        int, annotated_types.Ge(1), annotated_types.Le(100_000)
    ] = 512
    link_bytes_per_s: Annotated[int, annotated_types.Ge(0)] = 1_875_000
    upstream_nodes: Annotated[
        int, annotated_types.Ge(1), annotated_types.Le(64)
    ] = 6
    peer_addresses: Mapping[str, str] = dataclasses.field(default_factory=dict)
    log_level: str = "info"


_ADAPTER = pydantic.TypeAdapter(Settings)


def load_settings(path: str | pathlib.Path) -> Settings:
    """Reads and checks the settings of a node.

    Args:
        path: JSON file.

    Returns:
        The checked settings.

    Raises:
        SettingsError: The file can't be read or has findings.
    """
    try:
        document = pathlib.Path(path).read_bytes()
    except OSError as error:
        finding = Finding(str(path), f"cannot be read: {error.strerror}")
        raise SettingsError(str(path), [finding]) from error
    return parse_settings(document, source=str(path))


def parse_settings(document: bytes, source: str = "settings") -> Settings:
    """Checks a settings document.

    Args:
        document: JSON text.
        source: Name of the document in error messages.

    Returns:
        The checked settings.

    Raises:
        SettingsError: The document has findings; all are reported.
    """
    try:
        settings = _ADAPTER.validate_json(document)
    except pydantic.ValidationError as error:
        findings = [finding_of_error(item) for item in error.errors()]
        raise SettingsError(source, findings) from error
    findings = list(_cross_check(settings))
    if findings:
        raise SettingsError(source, findings)
    return settings


def finding_of_error(error: Mapping[str, Any]) -> Finding:
    """Returns a pydantic error as a finding, without the rejected value."""
    place = ".".join(str(part) for part in error["loc"]) or "document"
    return Finding(place, str(error["msg"]))


def split_address(address: str) -> tuple[str, int]:
    """Splits `ip:port`.

    Raises:
        ValueError: The text is not an IP number and a port.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError(f"{address!r} is not ip:port with port 0 to 65535")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    return host, int(port)


def _cross_check(settings: Settings) -> Iterator[Finding]:
    yield from _check_addresses(settings)
    yield from _check_timing(settings.timing)
    yield from _check_unique(
        "classes", [item.name for item in settings.classes]
    )
    yield from _check_unique(
        "platform.vms", [vm.vm_id for vm in settings.platform.vms]
    )
    if settings.log_level not in ("debug", "info", "warning", "error"):
        yield Finding("log_level", "must be debug, info, warning or error")


def _check_addresses(settings: Settings) -> Iterator[Finding]:
    addresses = {
        "listen": settings.listen,
        "operator_listen": settings.operator_listen,
        "peer_listen": settings.peer_listen,
    }
    for index, vm in enumerate(settings.platform.vms):
        addresses[f"platform.vms.{index}.address"] = vm.address
    for node_id, address in settings.peer_addresses.items():
        addresses[f"peer_addresses.{node_id}"] = address
    for place, address in addresses.items():
        try:
            split_address(address)
        except ValueError as error:
            yield Finding(place, str(error))
    listeners = [
        settings.listen,
        settings.operator_listen,
        settings.peer_listen,
    ]
    fixed = [item for item in listeners if not item.endswith(":0")]
    if len(set(fixed)) != len(fixed):
        yield Finding(
            "listen",
            "listen, operator_listen and peer_listen must differ",
        )


def _check_timing(timing: TimingSettings) -> Iterator[Finding]:
    ordered = ("heartbeat_s", "suspect_after_s", "dead_after_s")
    for lower, upper in zip(ordered, ordered[1:], strict=False):
        if getattr(timing, lower) >= getattr(timing, upper):
            yield Finding(
                f"timing.{upper}", f"must be greater than timing.{lower}"
            )
    if timing.grant_lifetime_s < 2 * timing.heartbeat_s:
        yield Finding(
            "timing.grant_lifetime_s",
            "must be at least twice timing.heartbeat_s",
        )


def _check_unique(place: str, names: list[str]) -> Iterator[Finding]:
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Finding(f"{place}.{index}", f"{name!r} is stated twice")
