"""Process that hosts several simulators.

`python -m tanagerport.standin_host` reads a JSON specification from standard
input, prints the bound addresses as one JSON line and serves until its
standard input ends.
"""

import json
import sys
from collections.abc import Mapping
from typing import Any, TextIO

from tanagerport.standin_engine import EngineProfile, StandinEngine
from tanagerport.standin_platform import StandinPlatform
from tanagerport.standin_service import StandinService

_Simulator = StandinEngine | StandinService | StandinPlatform


def create_simulators(
    specification: Mapping[str, Any],
) -> dict[str, _Simulator]:
    """Builds simulators from a specification.

    Args:
        specification: `engines`, `services` and `platforms` by name. An
            engine has `profile`, `versions` and `seed`, a service has
            `service_time_s`, a platform has `loads_per_s`.
    """
    simulators: dict[str, _Simulator] = {}
    for vm_id, item in specification.get("engines", {}).items():
        simulators[vm_id] = StandinEngine(
            profile=EngineProfile(**item.get("profile", {})),
            versions=item.get("versions"),
            seed=item.get("seed", 0),
        )
    for vm_id, item in specification.get("services", {}).items():
        simulators[vm_id] = StandinService(
            service_time_s=item.get("service_time_s", 0.01)
        )
    for name, item in specification.get("platforms", {}).items():
        simulators[name] = StandinPlatform(
            loads_per_s=item.get("loads_per_s", 1.0)
        )
    return simulators


def serve(source: TextIO, target: TextIO) -> None:
    """Serves the specification read from `source` until it ends."""
    simulators = create_simulators(json.loads(source.readline()))
    for simulator in simulators.values():
        simulator.start()
    addresses = {name: item.address for name, item in simulators.items()}
    print(json.dumps(addresses), file=target, flush=True)
    source.read()
    for simulator in simulators.values():
        simulator.stop()


if __name__ == "__main__":
    serve(sys.stdin, sys.stdout)
