"""Idempotency keys at their home nodes."""

import collections
import dataclasses
import enum
import threading
import uuid
from typing import Protocol

from tanagerport.clock import Clock
from tanagerport.interfaces import PeerNetwork
from tanagerport.key_claims import KeyClaims, any_zone_cut_off
from tanagerport.key_homes import ClaimMembership, KeyHomes
from tanagerport.peer_pb2 import (
    ClaimReply,
    ClaimRequest,
    SettleReply,
    SettleRequest,
)
from tanagerport.platform_api import TableStore
from tanagerport.settings import Settings
from tanagerport.settlements import Settlements
from tanagerport.zone_start import ZoneStart

# About 300 bytes a record. The planned size needs 64,000: 35 requests/s and
# node, 3 homes, 600 s.
_MAX_RECORDS = 200_000
# Homes don't see a claim at the same moment; a record is kept this much
# longer than keys are promised to be remembered.
_RECORD_MARGIN_S = 10.0
# The claimant accepts a key time of up to `KEY_TIME_LEAD_S` in the future;
# the rest covers the clock skew between nodes.
_KEY_TIME_MARGIN_S = 60.0
_UUID_LENGTH = 36
_TIMED_UUID_VERSION = 7


class FirstStart(Protocol):
    """Knowledge of the zone's start."""

    @property
    def is_first(self) -> bool:
        """Whether the zone had no claims before this node started."""


class ClaimState(enum.Enum):
    """State of a claimed key."""

    IN_PROGRESS = ClaimReply.IN_PROGRESS
    FINISHED = ClaimReply.FINISHED
    UNKNOWN = ClaimReply.UNKNOWN


@dataclasses.dataclass
class _Record:
    request_id: str
    node_id: str
    fingerprint: int
    state: ClaimState
    expires_at: float


_Key = tuple[str, str]


class ClaimTable:
    """Claims that this node keeps as a home of their keys.

    Args:
        homes: Home nodes of a key.
        membership: Nodes of this zone.
        clock: Source of time.
        window_s: How long a key is remembered, in seconds.
        zone_start: Whether this node started together with its zone.
        max_records: Further claims get `FULL`; none is evicted early.
    """

    def __init__(
        self,
        homes: KeyHomes,
        membership: ClaimMembership,
        clock: Clock,
        window_s: float,
        zone_start: FirstStart,
        max_records: int = _MAX_RECORDS,
    ) -> None:
        self._homes = homes
        self._membership = membership
        self._clock = clock
        self._window_s = window_s
        self._zone_start = zone_start
        self._max_records = max_records
        self._lifetime_s = window_s + _RECORD_MARGIN_S
        self._remembers_since = clock.time()
        self._started_at = clock.monotonic()
        self._lock = threading.Lock()
        # Both are in order of expiry, since all entries live equally long.
        self._records: collections.OrderedDict[_Key, _Record] = (
            collections.OrderedDict()
        )
        self._ended: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of claims."""
        return len(self._records)

    def claim(self, message: ClaimRequest) -> ClaimReply:
        """Claims a key for a request, or tells who holds it."""
        zone = self._membership.self_view.zone
        members = self._homes.members(zone, message.customer, message.key)
        reply = ClaimReply(
            members=members,
            young=not self._remembers(message.key),
            age_ms=int((self._clock.monotonic() - self._started_at) * 1000),
            lost_nodes=self._membership.lost_nodes(zone, self._window_s),
            first_start=self._zone_start.is_first,
            zones_cut_off=any_zone_cut_off(self._membership, self._window_s),
        )
        if message.zone != zone or tuple(message.members) != members:
            reply.verdict = ClaimReply.NOT_HOME
            return reply
        with self._lock:
            self._expire()
            self._decide(message, reply)
        return reply

    def settle(self, message: SettleRequest) -> SettleReply:
        """Records the outcome of a claimed request."""
        key = (message.customer, message.key)
        with self._lock:
            self._expire()
            record = self._records.get(key)
            is_owner = record and record.request_id == message.request_id
            if message.outcome == SettleRequest.NOT_RUN:
                if is_owner:
                    del self._records[key]
                # A claim that arrives after its settlement must not hold
                # the key for a request that has ended.
                self._ended[message.request_id] = self._expiry()
            elif is_owner and record:
                record.state = _state_of(message)
            elif record is None and len(self._records) < self._max_records:
                # This home restarted after the claim, or never got it.
                self._records[key] = _Record(
                    message.request_id,
                    "",
                    0,
                    _state_of(message),
                    self._expiry(),
                )
        return SettleReply()

    def _decide(self, message: ClaimRequest, reply: ClaimReply) -> None:
        key = (message.customer, message.key)
        record = self._records.get(key)
        if message.request_id in self._ended:
            reply.verdict = ClaimReply.UNKNOWN
            reply.owner_request_id = message.request_id
        elif record is None:
            if len(self._records) >= self._max_records:
                reply.verdict = ClaimReply.FULL
                return
            self._records[key] = _Record(
                message.request_id,
                message.node_id,
                message.fingerprint,
                ClaimState.IN_PROGRESS,
                self._expiry(),
            )
            reply.verdict = ClaimReply.GRANTED
        else:
            reply.owner_node_id = record.node_id
            reply.owner_request_id = record.request_id
            reply.verdict = _verdict_on(record, message)

    def _remembers(self, key: str) -> bool:
        """Returns whether a claim of the key can't have been lost here."""
        age_s = self._clock.monotonic() - self._started_at
        if age_s >= self._window_s:
            return True
        made_at = key_time(key)
        return (
            made_at is not None
            and made_at > self._remembers_since + _KEY_TIME_MARGIN_S
        )

    def _expiry(self) -> float:
        return self._clock.monotonic() + self._lifetime_s

    def _expire(self) -> None:
        now = self._clock.monotonic()
        while self._records:
            key = next(iter(self._records))
            if self._records[key].expires_at > now:
                break
            del self._records[key]
        while self._ended:
            request_id = next(iter(self._ended))
            if self._ended[request_id] > now:
                break
            del self._ended[request_id]


def key_time(key: str) -> float | None:
    """Returns the epoch seconds in a UUIDv7 key, None for other keys."""
    text = key.rpartition(":")[2]
    if len(text) != _UUID_LENGTH:
        return None
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != _TIMED_UUID_VERSION:
        return None
    return (parsed.int >> 80) / 1000


def create_claims(
    settings: Settings,
    membership: ClaimMembership,
    peers: PeerNetwork,
    clock: Clock,
    table: TableStore,
) -> KeyClaims:
    """Builds both sides of the claims and registers the peer handlers.

    The table service is used once, to learn whether the zone is new.

    Args:
        settings: Settings of the node.
        membership: Nodes and zones.
        peers: Calls between nodes.
        clock: Source of time.
        table: Table service.
    """
    window_s = settings.timing.claim_window_s
    homes = KeyHomes(membership, clock, window_s)
    view = membership.self_view
    zone_start = ZoneStart(table, view.zone, view.node_id, view.boot_id, clock)
    zone_start.start()
    claims = ClaimTable(homes, membership, clock, window_s, zone_start)
    peers.register("Claim", claims.claim)
    peers.register("Settle", claims.settle)
    settlements = Settlements(peers)
    return KeyClaims(
        homes, membership, peers, settlements, clock, window_s, key_time
    )


def _verdict_on(record: _Record, message: ClaimRequest) -> ClaimReply.Verdict:
    if record.request_id == message.request_id:
        # The claimant repeats a claim whose answer it lost.
        if record.state is ClaimState.IN_PROGRESS:
            return ClaimReply.GRANTED
        return ClaimReply.UNKNOWN
    if record.fingerprint and record.fingerprint != message.fingerprint:
        return ClaimReply.FINGERPRINT_MISMATCH
    return record.state.value


def _state_of(message: SettleRequest) -> ClaimState:
    if message.outcome == SettleRequest.OUTCOME_FINISHED:
        return ClaimState.FINISHED
    return ClaimState.UNKNOWN
