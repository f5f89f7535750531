"""Conversion between rows of the platform's store and types of the gateway."""

from typing import Protocol

from tanagerport.gateway.configuration_loader import ConfigurationReader
from tanagerport.gateway.domain import RolloutOrder, UpstreamRecord
from tanagerport.gateway.restored_rows import RowAge
from tanagerport.gateway.rollout_lease import RolloutState
from tanagerport.gateway.table_store import Row, RowWrite


class PlatformCodec(Protocol):
    """Decodes rows of the platform's store and encodes rollout statuses."""

    @property
    def configuration_table(self) -> str:
        """Name of the table that holds the configuration."""

    @property
    def upstream_table(self) -> str:
        """Name of the table that holds the upstreams."""

    def is_configuration(self, row: Row) -> bool:
        """Returns whether a row is the configuration."""

    def create_configuration_reader(self) -> ConfigurationReader:
        """Returns a reader of configurations."""

    def configuration_age(self, row: Row) -> RowAge | None:
        """Returns the age of a configuration; None for another kind of row."""

    def upstream_age(self, row: Row) -> RowAge | None:
        """Returns the age of an upstream's row; None if it is malformed."""

    def decode_rollout(self, row: Row) -> RolloutOrder | None:
        """Decodes a rollout order; returns None for a row of another kind.

        Raises:
            DocumentError: The order is invalid.
        """

    def rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> RowWrite:
        """Returns the row write that reports a rollout's state to operators."""

    def decode_upstream(self, row: Row) -> UpstreamRecord:
        """Decodes an upstream.

        Raises:
            DocumentError: The row is not a valid upstream record.
        """
