"""Entry point of the command line: run one day of the platform and report on it."""

import json
from pathlib import Path

from platform_testbed.processor_starvation import starved_ms
from platform_testbed.scenario import run_platform_day
from platform_testbed.scenarios import PLATFORM_DAYS, day_of
from platform_testbed.site import ALL_SHAPES
from platform_testbed.value import day_figures

__all__ = ["ALL_SHAPES", "PLATFORM_DAYS", "play_day"]

_SHOWN_BREACHES = 8


async def play_day(
    shape: str, name: str, seed: int, folder: str, history_file: str = ""
) -> tuple[str, dict[str, list[str]]]:
    """Run a day; return its report as text, and the breaches by rule.

    The history is written to `history_file` as JSON lines if a file is given.
    """
    day, counts, broken = await run_platform_day(
        shape, seed=seed, folder=folder, **day_of(name, seed)
    )
    if history_file:
        Path(history_file).write_text(
            "".join(json.dumps(row, default=str) + "\n" for row in day.history.rows)
        )
    rows = [
        f"{what}: {json.dumps(figure)}"
        for what, figure in day_figures(day.history, day.deployment.kinds).items()
    ]
    rows += [
        f"{row['what']} of version {row['revision']}: {row['outcome']} {row['status']} after "
        f"{row['answered_ms'] - row['at_ms']:.0f} ms"
        for row in day.history.rows_of("order")
    ]
    rows += [
        f"fault at {row['at_ms']:.0f} ms: {row['what']} "
        f"{row.get('node', '')}{'' if row.get('sure', True) else ' (chosen at random)'}"
        for row in day.history.rows_of("fault")
    ]
    rows.append(f"longest starvation of a machine: {starved_ms(day.history):.0f} ms")
    rows.append("rows judged: " + ", ".join(f"{rule} {count}" for rule, count in counts.items()))
    for rule, breaches in broken.items():
        rows += [f"BROKEN {rule}: {line}" for line in breaches[:_SHOWN_BREACHES]]
        rows += [f"BROKEN {rule}: and {len(breaches) - _SHOWN_BREACHES} more"] * (
            len(breaches) > _SHOWN_BREACHES
        )
    rows.append(
        f"{name} on {shape}, seed {seed}: "
        + (f"{len(broken)} rules broken" if broken else "no rule broken")
    )
    return "\n".join(rows), broken
