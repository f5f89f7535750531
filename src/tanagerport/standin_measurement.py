"""Measures what the engine simulators cost in CPU.

`python -m tanagerport.standin_measurement STEP_S TOKENS` runs 9 engines in
one process, with 16 streams each, and prints one JSON object.
"""

import asyncio
import json
import os
import pathlib
import sys
import time
from typing import Any

from tanagerport.bench_processes import HostProcess
from tanagerport.settings import split_address

_ENGINES = 9
_STREAMS = 16
_PROMPT = "y" * 2000
_READ_BYTES = 65536


async def _read_stream(address: str, number: int, tokens: int) -> int:
    """Returns the events of one answer."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    document = {
        "model": "tutor",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": f"{number} {_PROMPT}"}],
    }
    body = json.dumps(document).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: {len(body)}"
    writer.write(head.encode() + b"\r\n\r\n" + body)
    events = 0
    tail = b""
    while b"[DONE]" not in tail:
        data = await reader.read(_READ_BYTES)
        if not data:
            break
        events += data.count(b"data: {")
        tail = (tail + data)[-64:]
    writer.close()
    return events


async def _read_all(addresses: list[str], tokens: int) -> int:
    streams = [
        _read_stream(address, number, tokens)
        for address in addresses
        for number in range(_STREAMS)
    ]
    return sum(await asyncio.gather(*streams))


def _cpu_s(process_id: int) -> float:
    fields = pathlib.Path(f"/proc/{process_id}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def measure(step_s: float, tokens: int) -> dict[str, Any]:
    """Returns events a second and cores used by the simulators.

    Args:
        step_s: Seconds of one decoding step.
        tokens: Tokens of each answer.
    """
    profile = {"step_s": step_s, "step_per_request_s": 0.0}
    engines = {f"engine-{i}": {"profile": profile} for i in range(_ENGINES)}
    host = HostProcess({"engines": engines})
    try:
        before_s, started = _cpu_s(host.process_id), time.monotonic()
        events = asyncio.run(_read_all(list(host.addresses.values()), tokens))
        elapsed_s = time.monotonic() - started
        used_s = _cpu_s(host.process_id) - before_s
    finally:
        host.stop()
    return {
        "events_per_s": round(events / elapsed_s),
        "events_per_s_of_a_stream": round(
            events / elapsed_s / _ENGINES / _STREAMS, 1
        ),
        "cores": round(used_s / elapsed_s, 3),
    }


if __name__ == "__main__":
    print(json.dumps(measure(float(sys.argv[1]), int(sys.argv[2]))))
