"""Standing of the versions of a service, as its orders and their ends made it.

A version comes into use when its rollout is completed, and the next order
replaces it. Upstreams of any other version may be listed at any time, before
the order for them or long after, and say nothing of its standing.
"""

from collections.abc import Sequence

from tanagerport.gateway.domain import RolloutOrder, UpstreamRecord
from tanagerport.gateway.rollout_lease import RolloutLease
from tanagerport.gateway.rollout_progress import Rollout

# Versions of a service that are remembered, the latest ones.
_MAX_VERSIONS = 8


class VersionStanding:
    """Tells which versions an order replaces.

    Where the versions in use are not known, all but the untrusted ones may be
    in use: those that an earlier order was to bring into use and did not.
    """

    def __init__(self) -> None:
        self._untrusted: dict[str, list[str]] = {}

    def untrusted(self, service: str) -> Sequence[str]:
        """Returns the untrusted versions of a service, oldest first."""
        return self._untrusted.get(service, ())

    def record_replaced(self, rollout: Rollout) -> None:
        """Records that an order was followed by another one."""
        if rollout.order.version not in rollout.in_use:
            self._distrust(rollout.order.service, rollout.order.version)

    def record_completed(self, service: str, version: str) -> None:
        """Records that a version is in use."""
        if version in self.untrusted(service):
            self._untrusted[service].remove(version)

    def is_replaced(
        self, order: RolloutOrder, replaced: Sequence[str], version: str
    ) -> bool:
        """Returns whether an order replaces a version.

        Args:
            order: The order.
            replaced: Versions in use when it was given; empty if not known.
            version: The version.
        """
        if version == order.version:
            return False
        if replaced:
            return version in replaced
        return version not in self.untrusted(order.service)

    def is_old(self, rollout: Rollout, upstream: UpstreamRecord) -> bool:
        """Returns whether an upstream is of a version that is replaced."""
        return self.is_replaced(
            rollout.order, rollout.replaced, upstream.version
        )

    def find_old(
        self, rollout: Rollout, upstreams: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Returns the upstreams of the versions that are replaced."""
        return [
            upstream for upstream in upstreams if self.is_old(rollout, upstream)
        ]

    def find_stand_ins(
        self, rollout: Rollout, upstreams: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Returns those that serve if no upstream of a version in use is left.

        They are of versions that were not ordered.
        """
        return [
            upstream
            for upstream in upstreams
            if self.is_replaced(rollout.order, (), upstream.version)
        ]

    def note_versions_in_use(
        self, rollout: Rollout, upstreams: Sequence[UpstreamRecord]
    ) -> None:
        """Finds what the first order of a service replaces.

        Only the upstreams tell of it. It is stored with the order, so that all
        nodes go by what one of them saw.
        """
        if not rollout.replaced:
            rollout.replaced = sorted(
                {
                    upstream.version
                    for upstream in self.find_old(rollout, upstreams)
                }
            )

    def apply_lease(self, rollout: Rollout, lease: RolloutLease) -> None:
        """Takes over what the lease of a rollout says of the others."""
        rollout.replaced = lease.replaced or rollout.replaced
        self._apply_untrusted(rollout, lease)

    def apply_earlier_lease(
        self, rollout: Rollout, lease: RolloutLease
    ) -> None:
        """Learns from the lease of an earlier order what this one replaces.

        A restored store may hold a lease from before what this node knows.
        """
        service = rollout.order.service
        is_later = lease.started_s > rollout.followed_s or (
            # Its end did not reach this node.
            lease.version in lease.in_use
            and lease.version in self.untrusted(service)
        )
        if lease.in_use and (is_later or not rollout.replaced):
            rollout.replaced = lease.in_use
            for version in lease.in_use:
                self.record_completed(service, version)
        self._apply_untrusted(rollout, lease)

    def _apply_untrusted(self, rollout: Rollout, lease: RolloutLease) -> None:
        versions = list(lease.untrusted)
        if lease.version and lease.version not in lease.in_use:
            versions.append(lease.version)
        for version in versions:
            if version != rollout.order.version:
                self._distrust(rollout.order.service, version)

    def _distrust(self, service: str, version: str) -> None:
        versions = self._untrusted.setdefault(service, [])
        if version not in versions:
            versions.append(version)
            del versions[:-_MAX_VERSIONS]
