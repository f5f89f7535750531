"""Bench: the same trace through the naive router and through real nodes."""

import dataclasses
import json
import pathlib
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from absl import flags

from tanagerport import slopes
from tanagerport.bench_change_judge import summarize_config, summarize_move
from tanagerport.bench_history import History
from tanagerport.bench_judge import (
    compare_small_customers,
    count_violations,
    goodput_by_tier,
    median_added_first_token_s,
    median_first_token_s,
    refusals,
    wasted_prefill_tokens,
)
from tanagerport.bench_plan import Scenario
from tanagerport.bench_processes import BenchError
from tanagerport.bench_runner import dump_history, run_side
from tanagerport.bench_scenarios import LARGE_CUSTOMER, SCENARIOS_BY_NAME
from tanagerport.bench_stage import Side
from tanagerport.bench_trace import (
    TracedRequest,
    TraceOptions,
    make_trace,
    merge_traces,
)

_SLOPES = "slopes"


def define_bench_flags(values: flags.FlagValues) -> None:
    """Defines the flags of `bench`."""
    flags.DEFINE_string(
        "scenario",
        "list",
        "Scenario to run; `list` prints their names.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "seed",
        1,
        "Seed of the trace and of the simulators.",
        flag_values=values,
    )
    flags.DEFINE_bool(
        "json", False, "Print one JSON object.", flag_values=values
    )
    flags.DEFINE_enum(
        "only",
        None,
        [side.value for side in Side],
        "Run one side only.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "dump",
        None,
        "Directory that receives all observations as JSON.",
        flag_values=values,
    )


def run_command(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs a scenario and prints its result."""
    del arguments
    if values.scenario == "list":
        print("\n".join([*SCENARIOS_BY_NAME, _SLOPES]))
        return 0
    if values.scenario == _SLOPES:
        return _run_slopes(values.seed, values.json)
    scenario = SCENARIOS_BY_NAME.get(values.scenario)
    if scenario is None:
        raise flags.Error(f"--scenario: there is no {values.scenario!r}")
    sides = [Side(values.only)] if values.only else list(Side)
    try:
        result = measure(scenario, values.seed, sides, values.dump)
    except BenchError as error:
        print(f"bench: {error}", file=sys.stderr)
        return 1
    print(json.dumps(result) if values.json else _table(result))
    return 0


def _run_slopes(seed: int, as_json: bool) -> int:
    """Measures the slopes of docs/CAPACITY.md, which have no naive side."""
    measured = slopes.measure_slopes()
    document = {"scenario": _SLOPES, "seed": seed, "slopes": measured}
    print(json.dumps(document, indent=None if as_json else 2))
    return 0


def measure(
    scenario: Scenario,
    seed: int,
    sides: Sequence[Side],
    dump: str | None = None,
) -> dict[str, Any]:
    """Runs a scenario and returns its result document.

    Raises:
        BenchError: A process did not start.
    """
    trace = scenario_trace(scenario, seed)
    result: dict[str, Any] = {"scenario": scenario.name, "seed": seed}
    for side in sides:
        history = run_side(side, scenario, trace, seed)
        if dump:
            name = f"{scenario.name}-{seed}-{side}.json"
            dump_history(history, pathlib.Path(dump) / name)
        result[side.value] = summarize(history)
        if scenario.large_load:
            result[side.value]["small_customers"] = compare_small_customers(
                history.calls, LARGE_CUSTOMER
            )
        if scenario.rollout:
            result[side.value]["version_move"] = summarize_move(history)
        if scenario.changes_classes:
            result[side.value]["config"] = summarize_config(history)
    return result


def scenario_trace(scenario: Scenario, seed: int) -> list[TracedRequest]:
    """Returns the requests of a scenario and seed."""
    options = TraceOptions(
        phases=scenario.phases(scenario.load, scenario.classes),
        classes=scenario.classes,
        customers=scenario.customers,
        zones=[zone.name for zone in scenario.zones],
        resend_share=scenario.resend_share,
    )
    trace = make_trace(options, seed)
    if scenario.large_load:
        large = dataclasses.replace(
            options,
            phases=scenario.phases(scenario.large_load, scenario.large_classes),
            classes=scenario.large_classes,
            customers={LARGE_CUSTOMER: 1.0},
        )
        # Another seed, or both would draw the same markers.
        trace = merge_traces(trace, make_trace(large, -seed - 1))
    return trace


def summarize(history: History) -> dict[str, Any]:
    """Returns the figures of one side."""
    return {
        "offered": len({call.request.marker for call in history.calls}),
        "goodput_by_tier": goodput_by_tier(history.calls),
        "median_first_token_s": median_first_token_s(history.calls),
        "median_added_first_token_s": median_added_first_token_s(history),
        "wasted_prefill_tokens": wasted_prefill_tokens(history),
        "refusals": refusals(history.calls),
        "violations": count_violations(history),
    }


def _table(result: Mapping[str, Any]) -> str:
    lines = [f"scenario {result['scenario']}, seed {result['seed']}"]
    for side in Side:
        figures = result.get(side.value)
        if figures is None:
            continue
        lines.append(f"\n{side}")
        for name, value in figures.items():
            lines.append(f"  {name:24} {value}")
    return "\n".join(lines)
