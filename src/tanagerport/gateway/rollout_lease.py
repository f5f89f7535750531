"""Lease and state of a rollout, as stored in the gateway's own table."""

import enum

import msgspec

from tanagerport.gateway import untrusted_data
from tanagerport.gateway.table_store import Row
from tanagerport.gateway.untrusted_data import Integer, Seconds

TABLE = "tanagerport_rollout"


class RolloutState(enum.StrEnum):
    """State of a rollout."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"


class RolloutLease(msgspec.Struct, array_like=True, frozen=True):
    """Lease and state of a rollout, stored in the gateway's own table.

    Attributes:
        order_version: Store version of the operator's order.
        holder: Node that holds the lease.
        expires_s: Expiry of the lease on the store's clock, in seconds.
        started_s: Start of the rollout on the store's clock, in seconds.
        state: State of the rollout.
        version: Target version; empty if an earlier release wrote the row.
        dispatches: Requests to the service since the start, over all nodes.
        new_dispatches: Requests among these to the new version.
        written_version: Store version of the order as it was last written.
        deadline_s: Deadline of the rollout on the store's clock, in seconds.
        untrusted: Versions of earlier orders that were not completed.
        replaced: Versions in use when the order was given; empty if that is not
            known or an earlier release wrote the row.
    """

    order_version: Integer
    holder: str
    expires_s: Seconds
    started_s: Seconds
    state: RolloutState
    version: str = ""
    dispatches: Integer = 0
    new_dispatches: Integer = 0
    written_version: Integer = 0
    deadline_s: Seconds = 0.0
    untrusted: list[str] = []
    replaced: list[str] = []

    @property
    def in_use(self) -> list[str]:
        """Versions in use as the row says; empty if that is not known."""
        if self.state is RolloutState.COMPLETED and self.version:
            return [self.version]
        return self.replaced


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(RolloutLease)


def encode_lease(lease: RolloutLease) -> bytes:
    """Returns the value of a lease row."""
    return _encode(lease)


def decode_lease(row: Row) -> RolloutLease | None:
    """Decodes a lease row; returns None for a row that can't be read."""
    try:
        return untrusted_data.decode(_decoder, row.value or b"")
    except msgspec.DecodeError:
        # Another version of this software wrote the row in another format.
        # The lease is treated as expired.
        return None
