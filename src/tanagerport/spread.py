"""Spread of configuration and convictions: from peers and from the store."""

import asyncio
import random
import threading
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

import msgspec
import structlog

from tanagerport.clock import Clock
from tanagerport.config_records import (
    ConfigEntry,
    Conviction,
    decode_body,
    encode,
)
from tanagerport.configuration import ConfigurationStore
from tanagerport.exceptions import DocumentError, PeerError, PlatformError
from tanagerport.interfaces import NodeLiveness, NodeView
from tanagerport.model import VM, WorkClass
from tanagerport.peer_pb2 import (
    ConfigRecord,
    FetchRecordsReply,
    FetchRecordsRequest,
    Heartbeat,
    NodeState,
)
from tanagerport.settings import Settings

_FETCH_TIMEOUT_S = 2.0
# A conviction travels in every heartbeat for this long, so that it arrives
# even if some are lost; later the digest shows who lacks it.
_RECENT_CONVICTION_S = 5.0
_MAX_HEARTBEAT_CONVICTIONS = 16
_JITTER = (0.8, 1.2)
_SAVE_RETRY_S = 0.5
_READY_STATES = (NodeState.NODE_STATE_LIVE, NodeState.NODE_STATE_DRAINING)
_GONE = (NodeLiveness.DEAD, NodeLiveness.UNREACHABLE)

_log = structlog.get_logger(__name__)
_vms_decoder = msgspec.json.Decoder(list[VM])
_conviction_decoder = msgspec.json.Decoder(tuple[str, str, str])


class PeerCaller(Protocol):
    """What spread needs of the peer network."""

    async def call_in_loop(
        self,
        node_id: str,
        method: str,
        message: FetchRecordsRequest,
        timeout_s: float,
    ) -> FetchRecordsReply:
        """Calls a method of another node from the event loop."""

    def wake(self) -> None:
        """Starts an exchange with every peer now."""


class NodeDirectory(Protocol):
    """What spread needs of the membership."""

    def heartbeat_intervals(self) -> Mapping[str, float]:
        """Returns seconds between heartbeats by node id."""

    def node(self, node_id: str) -> NodeView | None:
        """Returns what is known of a node."""

    @property
    def listed_vms(self) -> Sequence[VM]:
        """VM list as last read; empty before."""

    def take_peer_list(self, vms: Sequence[VM]) -> None:
        """Takes a peer's VM list if none was read."""


class Spread:
    """Keeps this node's configuration at the highest version known.

    Args:
        settings: Settings of the node.
        store: Configuration of the node.
        peers: Calls to other nodes.
        directory: Which nodes exist.
        clock: Source of time.
    """

    def __init__(
        self,
        settings: Settings,
        store: ConfigurationStore,
        peers: PeerCaller,
        directory: NodeDirectory,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._store = store
        self._peers = peers
        self._directory = directory
        self._clock = clock
        self._random = random.Random(settings.node_id)
        self._lock = threading.Lock()
        # Version and readiness of each peer by its last heartbeat.
        self._peer_versions: dict[str, tuple[int, bool]] = {}
        self._digests: dict[str, int] = {}
        self._ahead: set[str] = set()
        self._is_ready = False
        # Set once the first classes are written, too: a node that is ready
        # before that refuses all requests of a new deployment.
        self._has_read_store = False
        self._is_store_reachable = False
        # Without a platform the settings state the VMs, perhaps none.
        self._needs_vms = settings.platform.vm_list_url is not None
        self._fetch_wanted: asyncio.Event | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        store.add_listener(self._on_change)
        # Only the accepting node hurries; others learn of the change from it,
        # and from each other with the next heartbeats.
        store.add_acceptance_listener(peers.wake)
        self._announced = store.state.snapshot.convictions_digest

    @property
    def is_ready(self) -> bool:
        """Whether this node knows the highest version and the VMs."""
        if not self._is_ready:
            self._is_ready = (
                bool(self._directory.listed_vms) or not self._needs_vms
            ) and self._knows_highest()
        return self._is_ready

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last read of the store succeeded."""
        return self._is_store_reachable

    @property
    def peer_versions(self) -> Mapping[str, int]:
        """Configuration version by node id, as last heard."""
        with self._lock:
            return {
                node_id: version
                for node_id, (version, _) in self._peer_versions.items()
            }

    def fill(self, heartbeat: Heartbeat, peer: NodeView) -> None:
        """Adds version, digest and recent convictions to a heartbeat."""
        snapshot = self._store.state.snapshot
        heartbeat.config_version = snapshot.version
        heartbeat.records_digest = snapshot.convictions_digest
        if not snapshot.convictions:
            return
        if self._digests.get(peer.node_id) == snapshot.convictions_digest:
            return
        recent = self._store.state.recent_convictions(_RECENT_CONVICTION_S)
        heartbeat.convictions.extend(
            encode_conviction(item)
            for item in recent[-_MAX_HEARTBEAT_CONVICTIONS:]
        )

    def receive(self, heartbeat: Heartbeat) -> None:
        """Takes convictions at once and notes what the peer knows."""
        self._take_convictions(heartbeat.convictions)
        snapshot = self._store.state.snapshot
        with self._lock:
            self._peer_versions[heartbeat.node_id] = (
                heartbeat.config_version,
                heartbeat.state in _READY_STATES,
            )
            self._digests[heartbeat.node_id] = heartbeat.records_digest
            is_ahead = (
                heartbeat.config_version > snapshot.version
                or heartbeat.records_digest != snapshot.convictions_digest
                or self._wants_vms()
            )
            if is_ahead:
                self._ahead.add(heartbeat.node_id)
        if is_ahead:
            self._want_fetch()

    def answer_fetch(self, request: FetchRecordsRequest) -> FetchRecordsReply:
        """Handler of `FetchRecords`."""
        snapshot = self._store.state.snapshot
        reply = FetchRecordsReply(
            config_version=snapshot.version,
            ready=self.is_ready,
            records=[
                _to_message(entry)
                for entry in snapshot.records.values()
                if entry.body.version > request.since_version
            ],
        )
        if request.records_digest != snapshot.convictions_digest:
            reply.convictions.extend(
                encode_conviction(Conviction(model, version, reason))
                for (model, version), reason in snapshot.convictions.items()
            )
        if request.want_vms:
            reply.vms = encode(self._directory.listed_vms)
        return reply

    async def run_fetcher(self) -> None:
        """Task that pulls from peers that are ahead."""
        self._loop = asyncio.get_running_loop()
        self._fetch_wanted = asyncio.Event()
        self._fetch_wanted.set()
        while True:
            await self._fetch_wanted.wait()
            self._fetch_wanted.clear()
            for node_id in self._peers_ahead():
                await self._fetch(node_id)

    async def run_store_reader(self) -> None:
        """Task that polls the store's head."""
        is_reachable = True
        while True:
            try:
                await asyncio.to_thread(self.read_store)
            except PlatformError as error:
                if is_reachable:
                    _log.warning("config_store_unavailable", error=str(error))
                is_reachable = False
            else:
                if not is_reachable:
                    _log.info("config_store_reachable")
                is_reachable = True
            await asyncio.sleep(
                self._settings.timing.head_poll_s
                * self._random.uniform(*_JITTER)
            )

    async def run_conviction_writer(self) -> None:
        """Task that writes convictions to the store."""
        while True:
            if self._store.state.unsaved_convictions():
                try:
                    await asyncio.to_thread(self._store.save_convictions)
                except PlatformError as error:
                    _log.warning("conviction_not_saved", error=str(error))
            # Nodes that learned of one conviction together spread their
            # writes, so that most of them find it saved.
            await asyncio.sleep(_SAVE_RETRY_S * self._random.uniform(0.2, 1.8))

    def read_store(self) -> None:
        """Reads the store once; writes the first classes if it is empty.

        Raises:
            PlatformError: The store can't be reached.
        """
        try:
            version = self._store.sync()
        except PlatformError:
            self._is_store_reachable = False
            raise
        self._is_store_reachable = True
        if version == 0:
            self._bootstrap(self._settings.classes)
        self._has_read_store = True

    def _bootstrap(self, classes: Sequence[WorkClass]) -> None:
        try:
            self._store.bootstrap(classes)
        except DocumentError as error:
            _log.error("bootstrap_classes_invalid", error=str(error))

    def _knows_highest(self) -> bool:
        """Returns whether no ready peer or store can know a higher version.

        The store's head is the highest accepted version. Without the store,
        all peers that answer have to be asked, and one of them must be ready.
        """
        if self._has_read_store:
            return True
        with self._lock:
            heard = dict(self._peer_versions)
        for node_id in self._directory.heartbeat_intervals():
            view = self._directory.node(node_id)
            is_gone = view is None or view.liveness in _GONE
            if node_id not in heard and not is_gone:
                return False
        ready = [version for version, is_ready in heard.values() if is_ready]
        return bool(ready) and self._store.version >= max(ready)

    def _take_convictions(self, texts: Iterable[str]) -> None:
        items = [decode_conviction(text) for text in texts]
        if items:
            self._store.state.add_convictions(items)

    def _peers_ahead(self) -> list[str]:
        with self._lock:
            ahead, self._ahead = self._ahead, set()
        # The peer with the highest version first: the others then have
        # nothing left that this node lacks.
        return sorted(
            ahead,
            key=lambda node_id: self._peer_versions[node_id][0],
            reverse=True,
        )

    async def _fetch(self, node_id: str) -> None:
        snapshot = self._store.state.snapshot
        version, _ = self._peer_versions[node_id]
        digest = self._digests[node_id]
        if (
            version <= snapshot.version
            and digest == snapshot.convictions_digest
            and not self._wants_vms()
        ):
            return
        request = FetchRecordsRequest(
            node_id=self._settings.node_id,
            since_version=snapshot.version,
            records_digest=snapshot.convictions_digest,
            want_vms=self._wants_vms(),
        )
        try:
            reply = await self._peers.call_in_loop(
                node_id, "FetchRecords", request, _FETCH_TIMEOUT_S
            )
        except PeerError as error:
            # The next heartbeat asks for another attempt.
            _log.debug("fetch_failed", peer=node_id, error=str(error))
            return
        self.take_reply(reply)

    def take_reply(self, reply: FetchRecordsReply) -> None:
        """Applies the records of a peer."""
        self._store.merge(
            [_from_message(record) for record in reply.records],
            reply.config_version,
        )
        self._take_convictions(reply.convictions)
        if reply.vms:
            self._directory.take_peer_list(_vms_decoder.decode(reply.vms))

    def _wants_vms(self) -> bool:
        return self._needs_vms and not self._directory.listed_vms

    def _on_change(self) -> None:
        digest = self._store.state.snapshot.convictions_digest
        if digest != self._announced:
            self._announced = digest
            self._peers.wake()

    def _want_fetch(self) -> None:
        if self._loop is not None and self._fetch_wanted is not None:
            self._loop.call_soon_threadsafe(self._fetch_wanted.set)


def encode_conviction(item: Conviction) -> str:
    """Returns a conviction as text for a heartbeat."""
    return encode((item.model, item.version, item.reason)).decode()


def decode_conviction(text: str) -> Conviction:
    """Returns a conviction from the text of a heartbeat."""
    return Conviction(*_conviction_decoder.decode(text))


def _to_message(entry: ConfigEntry) -> ConfigRecord:
    return ConfigRecord(
        key=entry.key,
        revision=entry.revision,
        version=entry.body.version,
        value=encode(entry.body),
    )


def _from_message(record: ConfigRecord) -> ConfigEntry:
    return ConfigEntry(record.key, record.revision, decode_body(record.value))
