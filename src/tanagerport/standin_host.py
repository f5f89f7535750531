"""Process that hosts several simulated upstreams.

`python -m tanagerport.standin_host` reads a JSON specification from standard
input, prints the bound addresses as one JSON line and serves until its
standard input ends.
"""

import json
import sys
from collections.abc import Mapping
from typing import Any, TextIO

from tanagerport.standin_engine import EngineProfile, StandinEngine
from tanagerport.standin_service import StandinService


def create_upstreams(
    specification: Mapping[str, Any],
) -> dict[str, StandinEngine | StandinService]:
    """Builds upstreams from a specification.

    Args:
        specification: `engines` and `services` by VM id. An engine has
            `profile`, `versions` and `seed`; a service has
            `service_time_s`.
    """
    upstreams: dict[str, StandinEngine | StandinService] = {}
    for vm_id, item in specification.get("engines", {}).items():
        upstreams[vm_id] = StandinEngine(
            profile=EngineProfile(**item.get("profile", {})),
            versions=item.get("versions"),
            seed=item.get("seed", 0),
        )
    for vm_id, item in specification.get("services", {}).items():
        upstreams[vm_id] = StandinService(
            service_time_s=item.get("service_time_s", 0.01)
        )
    return upstreams


def serve(source: TextIO, target: TextIO) -> None:
    """Serves the specification read from `source` until it ends."""
    upstreams = create_upstreams(json.loads(source.readline()))
    for upstream in upstreams.values():
        upstream.start()
    addresses = {name: item.address for name, item in upstreams.items()}
    print(json.dumps(addresses), file=target, flush=True)
    source.read()
    for upstream in upstreams.values():
        upstream.stop()


if __name__ == "__main__":
    serve(sys.stdin, sys.stdout)
