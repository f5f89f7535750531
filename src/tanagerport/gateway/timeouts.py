"""Timeouts that something else than the passing of time ends."""

import asyncio


def expire_now(limit: asyncio.Timeout) -> None:
    """Ends what is awaited inside a timeout.

    It does nothing if the timeout has expired. Its task runs only after others,
    which may ask for the same; `asyncio.Timeout.reschedule` fails then.

    Args:
        limit: A timeout that was entered and not left.
    """
    if not limit.expired():
        limit.reschedule(asyncio.get_running_loop().time())
