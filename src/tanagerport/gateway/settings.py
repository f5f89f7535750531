"""Settings of a gateway process, read from a JSON file."""

import dataclasses
import pathlib

import msgspec

from tanagerport.exceptions import SettingsError
from tanagerport.findings import Finding
from tanagerport.gateway import untrusted_data

_MAX_PORT_DIGITS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a gateway process.

    Attributes:
        node: Name of the node.
        zone: Availability zone of the node.
        regions: Region of each availability zone.
        listen: `ip:port` that accepts connections of clients.
        ready_listen: `ip:port` that answers readiness checks.
        peer_host: IP address at which other nodes reach this node.
        peer_port: UDP port for reports of other nodes, the same on all nodes.
        coordination_port: UDP port for requests for slots, the same on all
            nodes.
        metrics_port: TCP port that serves the metrics, and the tables to
            other nodes; the same on all nodes.
        seeds: Addresses of a few other nodes to contact at start; their ports
            are ignored.
        store: `ip:port` of the table store.
        link_mbps: Bandwidth of the VM's network link, in Mbit/s.
        drain_grace_s: Time between the stop signal and the kill, in seconds.
        contact_ms: Time within which a node has to reach the store again after
            a disruption, in milliseconds.
        drain_timeout_ms: Time for which an upstream accepts requests after it
            announced that it is leaving, in milliseconds.
        retry_ratio: Retries allowed per request, over all nodes.
        retry_window_s: Length of the window in which retries are counted, in
            seconds.
        retry_slack: Retries allowed beyond the ratio in each window.
        quota_window_s: Length of the sliding window of the quotas, in seconds.
        quota_tolerance: Units that a customer may use beyond its quota in
            a window, over all nodes.
        canary_share: Largest share of a service's requests that a version may
            get before it is known to be good.
        canary_slack: Requests that such a version may get beyond that share,
            over all nodes.
    """

    node: str
    zone: str
    regions: dict[str, str]
    listen: str
    ready_listen: str
    peer_host: str
    peer_port: int
    coordination_port: int
    metrics_port: int
    seeds: list[str] = []
    store: str
    link_mbps: float = 100.0
    drain_grace_s: float = 8.0
    contact_ms: float = 4000
    drain_timeout_ms: float = 2500
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 20.0
    quota_window_s: float = 8.0
    quota_tolerance: float = 0.0
    canary_share: float = 0.1
    canary_slack: float = 50.0

    @property
    def region(self) -> str:
        """Region of the node; empty if its zone is not listed."""
        return self.regions.get(self.zone, "")


_decoder = msgspec.json.Decoder(GatewaySettings)


def parse_address(text: str) -> Address:
    """Parses `ip:port`.

    Raises:
        ValueError: The text is not a valid address.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not (port.isascii() and port.isdecimal()):
        raise ValueError(f"{text!r} is not an address of the form ip:port")
    # The length is checked first, as `int` refuses very long numbers.
    if len(port) > _MAX_PORT_DIGITS or not 0 < int(port) < 65536:
        raise ValueError(f"port {port} is out of range (1 to 65535)")
    return Address(host, int(port))


def _check_positive(settings: GatewaySettings) -> list[Finding]:
    return [
        Finding(name, f"must be greater than 0, is {getattr(settings, name)}")
        for name in (
            "link_mbps",
            "drain_grace_s",
            "contact_ms",
            "drain_timeout_ms",
            "retry_window_s",
        )
        if not getattr(settings, name) > 0
    ]


def _check_addresses(settings: GatewaySettings) -> list[Finding]:
    findings = []
    places = [
        ("listen", settings.listen),
        ("ready_listen", settings.ready_listen),
        ("store", settings.store),
        *((f"seeds.{i}", seed) for i, seed in enumerate(settings.seeds)),
    ]
    for place, text in places:
        try:
            parse_address(text)
        except ValueError as error:
            findings.append(Finding(place, str(error)))
    return findings


def load_gateway_settings(path: str) -> GatewaySettings:
    """Reads and validates a settings file; unknown fields are ignored.

    Args:
        path: Path of a JSON file.

    Raises:
        SettingsError: The file can't be read or has invalid settings.
    """
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(path, [Finding("", str(error))]) from error
    try:
        settings = untrusted_data.decode(_decoder, content)
    except msgspec.DecodeError as error:
        raise SettingsError(path, [Finding("", str(error))]) from error
    findings = _check_addresses(settings) + _check_positive(settings)
    if settings.zone not in settings.regions:
        findings.append(
            Finding("zone", f"{settings.zone!r} is not listed in `regions`")
        )
    if findings:
        raise SettingsError(path, findings)
    return settings
