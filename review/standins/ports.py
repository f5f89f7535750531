"""Free ports outside the range that the kernel gives to connections."""

import contextlib
import os
import socket

_PORTS = range(21000, 31000)
# Processes that run at the same time begin at different ports.
_PORTS_PER_PROCESS = 40

_taken: set[int] = set()


class NoFreePortError(Exception):
    """There are too few free ports."""


def take_free(hosts: list[str], count: int) -> list[int]:
    """Returns ports, in order, that are free on all hosts for TCP and UDP.

    Args:
        hosts: Loopback addresses.
        count: Number of ports.

    Raises:
        NoFreePortError: There are too few.
    """
    first = os.getpid() * _PORTS_PER_PROCESS
    found: list[int] = []
    for offset in range(len(_PORTS)):
        if len(found) == count:
            _taken.update(found)
            return sorted(found)
        port = _PORTS[(first + offset) % len(_PORTS)]
        if port not in _taken and all(_is_free(host, port) for host in hosts):
            found.append(port)
    raise NoFreePortError("there are too few free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with contextlib.closing(socket.socket(socket.AF_INET, kind)) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
