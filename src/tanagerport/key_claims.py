"""Claims of idempotency keys, as the node that got the request makes them."""

import dataclasses
import enum
from collections.abc import Callable, Sequence
from typing import Protocol

import xxhash

from tanagerport.clock import Clock
from tanagerport.exceptions import PeerError, RefusedError
from tanagerport.interfaces import (
    NodeLiveness,
    PeerNetwork,
)
from tanagerport.key_homes import ClaimMembership, KeyHomes
from tanagerport.model import Ran, Refusal, RefusalReason, Request
from tanagerport.peer_pb2 import ClaimReply, ClaimRequest, SettleRequest
from tanagerport.settlements import Settlements

_CALL_TIMEOUT_S = 0.5
# Keys from the future would later seem newer than a loss of claims.
KEY_TIME_LEAD_S = 30.0
_RETRY_AFTER_S = 1.0


class ClaimOutcome(enum.Enum):
    """What became of a claimed request."""

    NOT_RUN = SettleRequest.NOT_RUN
    FINISHED = SettleRequest.OUTCOME_FINISHED
    UNKNOWN = SettleRequest.OUTCOME_UNKNOWN


class Claim(Protocol):
    """The right to dispatch one request."""

    def settle(self, outcome: ClaimOutcome) -> None:
        """Records the outcome; later calls have no effect."""


class DuplicateKeyError(RefusedError):
    """Another request holds the key.

    Attributes:
        owner_node_id: Node that got that request; empty if not known.
        owner_request_id: Its request id.
        is_finished: Whether it has a whole answer.
    """

    def __init__(
        self, owner_node_id: str, owner_request_id: str, is_finished: bool
    ) -> None:
        if is_finished:
            reason = RefusalReason.DUPLICATE_FINISHED
            message = "the request with this key has finished"
        else:
            reason = RefusalReason.DUPLICATE_IN_PROGRESS
            message = "a request with this key is in progress"
        super().__init__(Refusal(reason, message, Ran.UNKNOWN))
        self.owner_node_id = owner_node_id
        self.owner_request_id = owner_request_id
        self.is_finished = is_finished


class _Result(enum.Enum):
    GRANTED = enum.auto()
    # Too few homes answered.
    NO_QUORUM = enum.auto()
    # So many homes lost their claims that an earlier one may be unknown.
    CLAIMS_LOST = enum.auto()


@dataclasses.dataclass
class _Poll:
    """Answers of the homes of one zone."""

    members: tuple[str, ...]
    votes: dict[str, ClaimReply] = dataclasses.field(default_factory=dict)
    young: dict[str, ClaimReply] = dataclasses.field(default_factory=dict)
    lost_nodes: set[str] = dataclasses.field(default_factory=set)
    removed: int = 0
    cut_off: bool = False

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1


class _HeldClaim:
    """A claim that a majority of the key's homes granted."""

    def __init__(
        self,
        settlements: Settlements,
        node_ids: Sequence[str],
        request: Request,
    ) -> None:
        self._settlements = settlements
        self._node_ids = node_ids
        self._request = request
        self._settled = False

    def settle(self, outcome: ClaimOutcome) -> None:
        """Records the outcome; later calls have no effect.

        Only a request that did not run is settled at the homes. Of others,
        the node that owns the claim knows the outcome and is asked when the
        key comes again, which spares each request two messages.
        """
        if self._settled:
            return
        self._settled = True
        if outcome is ClaimOutcome.NOT_RUN:
            # The caller may resend as soon as it sees the refusal.
            message = settle_message(self._request, outcome)
            self._settlements.send_now(self._node_ids, message)


class KeyClaims:
    """Claims keys at their home nodes.

    Args:
        homes: Home nodes of a key.
        membership: Nodes and zones.
        peers: Calls between nodes.
        settlements: Delivers outcomes.
        clock: Source of time.
        window_s: How long a key is remembered, in seconds.
        key_time: Returns the time in a key, None if it has none.
    """

    def __init__(
        self,
        homes: KeyHomes,
        membership: ClaimMembership,
        peers: PeerNetwork,
        settlements: Settlements,
        clock: Clock,
        window_s: float,
        key_time: Callable[[str], float | None],
    ) -> None:
        self._homes = homes
        self._membership = membership
        self._peers = peers
        self._settlements = settlements
        self._clock = clock
        self._window_s = window_s
        self._key_time = key_time

    @property
    def window_s(self) -> float:
        """How long a key is remembered after its claim, in seconds."""
        return self._window_s

    def claim(self, request: Request) -> Claim:
        """Claims the request's key.

        Args:
            request: Request with a key.

        Returns:
            The claim; a request may be dispatched only under it.

        Raises:
            DuplicateKeyError: Another request holds the key.
            RefusedError: The key can't be claimed.
        """
        self._check_key_time(request)
        contacted: list[str] = []
        try:
            self._claim_everywhere(request, contacted)
        except RefusedError:
            self.release(request, contacted)
            raise
        return _HeldClaim(self._settlements, contacted, request)

    def release(self, request: Request, node_ids: Sequence[str]) -> None:
        """Gives back what nodes may have granted to a refused request."""
        message = settle_message(request, ClaimOutcome.NOT_RUN)
        self._settlements.send_now(node_ids, message)

    def _claim_everywhere(self, request: Request, contacted: list[str]) -> None:
        key = _key(request)
        home = self._homes.home_zone(request.customer, key)
        result, poll = self._claim_in_zone(home, request, contacted)
        own = self._membership.self_view.zone
        if result is _Result.NO_QUORUM and request.attempt == 1:
            # Attempts above 1 ask every zone, so they find this claim.
            for zone in self._homes.fallback_zones(own, request.customer, key):
                result, poll = self._claim_in_zone(zone, request, contacted)
                if result is _Result.GRANTED:
                    break
        if result is not _Result.GRANTED:
            raise _refuse(result, home, request)
        if self._may_be_resend(request, poll):
            self._claim_in_other_zones(home, request, contacted)

    def _may_be_resend(self, request: Request, poll: _Poll) -> bool:
        """Returns whether another zone may have served this key.

        An attempt that is not stated can be a resend. That matters only
        after a partition, as first attempts are claimed at home otherwise.
        """
        if request.attempt > 1:
            return True
        return request.attempt == 0 and (
            poll.cut_off or any_zone_cut_off(self._membership, self._window_s)
        )

    def _claim_in_other_zones(
        self, home: str, request: Request, contacted: list[str]
    ) -> None:
        """Claims a resend where its first attempt may have been claimed.

        A claim, not only a question: a first attempt that is delayed in the
        network must find the key taken.
        """
        for zone in self._membership.zones():
            if zone == home:
                continue
            result, _ = self._claim_in_zone(zone, request, contacted)
            if result is not _Result.GRANTED:
                raise RefusedError(
                    Refusal(
                        RefusalReason.CLAIM_UNKNOWN,
                        f"zone {zone} can't say whether an earlier attempt "
                        "ran there",
                        Ran.UNKNOWN,
                        _RETRY_AFTER_S,
                    )
                )

    def _claim_in_zone(
        self, zone: str, request: Request, contacted: list[str]
    ) -> tuple[_Result, _Poll]:
        members = self._homes.members(zone, request.customer, _key(request))
        if not self._membership.is_zone_reachable(zone):
            return _Result.NO_QUORUM, _Poll(members)
        poll, other_members = self._poll(zone, members, request, contacted)
        if other_members:
            # The homes remember a node that left before this one knew it.
            poll, _ = self._poll(zone, other_members, request, contacted)
        poll.lost_nodes.update(
            self._membership.lost_nodes(zone, self._window_s)
        )
        return decide(poll, self._window_s), poll

    def _poll(
        self,
        zone: str,
        members: tuple[str, ...],
        request: Request,
        contacted: list[str],
    ) -> tuple[_Poll, tuple[str, ...]]:
        """Asks homes in order until a majority granted the key.

        One after another: with concurrent calls two claimants could each
        get one home and neither a majority.
        """
        poll = _Poll(members)
        removed = self._homes.removed(zone, members)
        dead = {
            node.node_id
            for node in self._membership.nodes(zone)
            if node.liveness is NodeLiveness.DEAD
        }
        other_members: tuple[str, ...] = ()
        for node_id in members:
            if node_id in removed:
                poll.removed += 1
            if node_id in removed or node_id in dead:
                continue
            reply = self._call(zone, node_id, members, request)
            may_hold = reply is None or reply.verdict == ClaimReply.GRANTED
            if may_hold and node_id not in contacted:
                contacted.append(node_id)
            if reply is None or reply.verdict == ClaimReply.FULL:
                continue
            if reply.verdict == ClaimReply.NOT_HOME:
                if len(reply.members) and not reply.young:
                    other_members = tuple(reply.members)
                continue
            if reply.verdict != ClaimReply.GRANTED:
                raise _refuse_held(reply)
            (poll.young if reply.young else poll.votes)[node_id] = reply
            poll.lost_nodes.update(reply.lost_nodes)
            poll.cut_off |= reply.zones_cut_off
            if len(poll.votes) == poll.majority:
                break
        return poll, other_members

    def _call(
        self,
        zone: str,
        node_id: str,
        members: tuple[str, ...],
        request: Request,
    ) -> ClaimReply | None:
        message = ClaimRequest(
            key=_key(request),
            customer=request.customer,
            request_id=request.request_id,
            node_id=self._membership.self_view.node_id,
            boot_id=self._membership.self_view.boot_id,
            attempt=request.attempt,
            zone=zone,
            fingerprint=fingerprint(request),
            members=members,
        )
        try:
            return self._peers.call(node_id, "Claim", message, _CALL_TIMEOUT_S)
        except (PeerError, RuntimeError):
            # RuntimeError: the event loop of the peers has ended.
            return None

    def _check_key_time(self, request: Request) -> None:
        made_at = self._key_time(_key(request))
        if made_at is None:
            return
        if made_at > self._clock.time() + KEY_TIME_LEAD_S:
            raise RefusedError(
                Refusal(
                    RefusalReason.BAD_REQUEST,
                    "Idempotency-Key: the time in the key is more than "
                    f"{KEY_TIME_LEAD_S:.0f} s in the future",
                    unproven_ran(request),
                )
            )


def decide(poll: _Poll, window_s: float) -> _Result:
    """Returns whether the answers of a zone's homes grant a key.

    Args:
        poll: Answers of the homes.
        window_s: How long a key is remembered, in seconds.
    """
    if not poll.members:
        return _Result.NO_QUORUM
    first = {}
    # Two losses in the zone's first minutes may have taken all copies.
    if len(poll.lost_nodes) < poll.majority:
        first = {
            node_id: reply
            for node_id, reply in poll.young.items()
            if reply.first_start and node_id not in poll.lost_nodes
        }
    votes = {**poll.votes, **first}
    if len(votes) >= poll.majority:
        return _Result.GRANTED
    lost = poll.removed + len(poll.young) - len(first)
    if len(poll.members) == 2 and lost == 1 and votes:
        # Both hold every claim, so one suffices, unless it was itself the
        # lost one while the other held the only copies.
        voter = next(iter(votes.values()))
        if first or voter.age_ms >= 2000 * window_s:
            return _Result.GRANTED
        return _Result.CLAIMS_LOST
    if lost >= poll.majority:
        return _Result.CLAIMS_LOST
    return _Result.NO_QUORUM


def any_zone_cut_off(membership: ClaimMembership, window_s: float) -> bool:
    """Returns whether any zone was unreachable within the window."""
    return any(
        membership.zone_cut_off_within(zone, window_s)
        for zone in membership.zones()
    )


def fingerprint(request: Request) -> int:
    """Returns a hash of what a key stands for; never 0."""
    digest = xxhash.xxh3_64()
    for part in (
        request.work_class.name,
        request.method,
        request.service_path,
    ):
        digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(request.body)
    return digest.intdigest() or 1


def settle_message(request: Request, outcome: ClaimOutcome) -> SettleRequest:
    """Returns the message that records an outcome."""
    return SettleRequest(
        key=_key(request),
        customer=request.customer,
        request_id=request.request_id,
        outcome=outcome.value,
    )


def unproven_ran(request: Request) -> Ran:
    """Returns what may be said of a key whose claim was not obtained.

    Only a stated first attempt proves that no earlier request had the key.
    """
    return Ran.NO if request.attempt == 1 else Ran.UNKNOWN


def _refuse(result: _Result, zone: str, request: Request) -> RefusedError:
    if result is _Result.CLAIMS_LOST:
        return RefusedError(
            Refusal(
                RefusalReason.CLAIM_UNKNOWN,
                f"zone {zone} lost claims and can't say whether this key ran",
                Ran.UNKNOWN,
            )
        )
    return RefusedError(
        Refusal(
            RefusalReason.CLAIM_UNAVAILABLE,
            f"too few home nodes of this key in zone {zone} answered",
            unproven_ran(request),
            _RETRY_AFTER_S,
        )
    )


def _refuse_held(reply: ClaimReply) -> RefusedError:
    if reply.verdict == ClaimReply.FINGERPRINT_MISMATCH:
        return RefusedError(
            Refusal(
                RefusalReason.KEY_REUSED,
                "the key was used for a request with another body or path",
            )
        )
    if reply.verdict == ClaimReply.UNKNOWN:
        return RefusedError(
            Refusal(
                RefusalReason.CLAIM_UNKNOWN,
                "the request with this key ended without a known outcome",
                Ran.UNKNOWN,
            )
        )
    return DuplicateKeyError(
        reply.owner_node_id,
        reply.owner_request_id,
        reply.verdict == ClaimReply.FINISHED,
    )


def _key(request: Request) -> str:
    if request.key is None:
        raise ValueError("the request has no idempotency key")
    return request.key
