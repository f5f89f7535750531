"""What the kernel still holds of the bytes that were written to a socket."""

import array
import fcntl
import socket
import termios


def has_unacknowledged(sock: socket.socket | None) -> bool:
    """Returns whether the peer's host has yet to acknowledge written bytes.

    False if the socket is closed or the kernel doesn't tell.
    """
    if sock is None or sock.fileno() < 0:
        return False
    size = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, size)
    except OSError:
        return False
    return size[0] > 0
