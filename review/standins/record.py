"""Record of what was sent, answered and run."""

import dataclasses
import pathlib
import time


@dataclasses.dataclass(frozen=True)
class Entry:
    """A line of the record.

    Attributes:
        at: Monotonic seconds.
        kind: What happened.
        attempt: Id of the client attempt; empty if it is about none.
        text: Details.
    """

    at: float
    kind: str
    attempt: str
    text: str


class Record:
    """Collects entries and writes them to a file.

    Args:
        path: File to write.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._started_at = time.monotonic()
        self.entries: list[Entry] = []

    def add(self, kind: str, attempt: str, text: str) -> Entry:
        """Adds an entry for now and returns it."""
        entry = Entry(time.monotonic(), kind, attempt, text)
        self.entries.append(entry)
        return entry

    def of(self, kind: str) -> list[Entry]:
        """Returns the entries of a kind."""
        return [entry for entry in self.entries if entry.kind == kind]

    def seconds(self, at: float) -> float:
        """Returns a moment in seconds since the start of the record."""
        return at - self._started_at

    def write(self) -> None:
        """Writes the file."""
        self._path.write_text(
            "".join(
                f"{self.seconds(entry.at):8.3f} {entry.kind:<9}"
                f" {entry.attempt:<12} {entry.text}\n"
                for entry in self.entries
            )
        )
