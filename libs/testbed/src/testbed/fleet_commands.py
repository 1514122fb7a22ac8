"""Commands that run processes: a stand-in worker, a node with injected faults, or a fleet."""

import asyncio
import signal
import sys
from typing import Annotated, Literal

from cyclopts import Parameter
from data_plane.process import settings_or_exit
from platform_testbed.command import ALL_SHAPES, PLATFORM_DAYS, play_day
from runtime import load_settings

from testbed.fault_injection import InjectedFaults, run_node
from testbed.report import scenario_report
from testbed.scenario_run import run_scenario
from testbed.scenarios import SCENARIOS
from testbed.worker import StandInWorker

__all__ = ["fleet", "node", "platform", "worker"]


async def _run_worker(worker: StandInWorker) -> None:
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await worker.start()
    await stopping.wait()
    await worker.leave()
    await worker.stop()


def worker(
    *,
    identity: str,
    http: str,
    edge: Annotated[list[str], Parameter(negative=())],
    zone: str = "a",
    label: Annotated[list[str] | None, Parameter(negative=())] = None,
    slots: int = 8,
    token_ms: float = 2.0,
    tokens: int = 12,
    prefill_ms: float = 20.0,
    cache_prefixes: int = 32,
    runs_file: str = "",
    weather: str = "",
) -> None:
    """Run a stand-in model worker until SIGTERM; it then announces to an edge that it leaves.

    Parameters
    ----------
    identity
        the worker's name, which profiles may allow.
    http
        the worker's address, IP:PORT.
    edge
        HTTP address of an edge to send heartbeats to; may be given several times.
    zone
        the worker's zone.
    label
        a label that profiles may allow; may be given several times.
    slots
        number of completions that run at once.
    token_ms
        time for one token, in milliseconds.
    tokens
        tokens of a completion whose request does not set max_tokens.
    prefill_ms
        added time for a prompt whose prefix is not cached, in milliseconds.
    cache_prefixes
        number of prefixes that the cache holds.
    runs_file
        file to which runs are appended as JSON lines, for the oracle.
    weather
        file of injected faults, whose cuts keep heartbeats from edges.
    """
    asyncio.run(
        _run_worker(
            StandInWorker(
                identity,
                http,
                edge,
                zone,
                label,
                slots,
                token_ms,
                tokens,
                prefill_ms,
                cache_prefixes,
                runs_file=runs_file,
                faults=InjectedFaults(weather, identity) if weather else None,
            )
        )
    )


def node(
    *,
    role: Literal["control", "edge", "store"],
    settings: str,
    name: str,
    weather: str,
    seed: int = 1,
) -> None:
    """Run a node with the faults that a file names; SIGKILL then acts as a power loss.

    Parameters
    ----------
    role
        control, edge or store.
    settings
        the node's settings file, in TOML.
    name
        the node's name in the file of faults.
    weather
        file of injected faults, read again whenever it changes.
    seed
        seed of the draw which unflushed writes reach the disk early.
    """
    flags = {"role": role}
    run_node(
        settings_or_exit(load_settings(settings, flags)),
        settings,
        flags,
        InjectedFaults(weather, name),
        seed,
    )


def fleet(
    *,
    shape: Literal["jade", "swan", "thin"] = "jade",
    day: str = "owner-and-holder",
    seed: int = 1,
    folder: str = "fleet-data",
    rate: float = 6.0,
    seconds: float = 15.0,
    base_port: int = 24000,
) -> None:
    """Run a fleet of real processes under traffic with a scenario's faults, and print a report.

    Parameters
    ----------
    shape
        jade (six edges, seven workers), swan (eight edges, six workers) or thin.
    day
        scenario named in docs/proof.md, such as calm, weather, members, power or isolated.
    seed
        seed of traffic and faults.
    folder
        directory for data and logs; it is emptied first.
    rate
        rulings a second, and as many flags; narrations and reasons come at half the rate, moves
        at 0.3 of it.
    seconds
        least duration of the traffic.
    base_port
        first loopback port to use.
    """
    if day not in SCENARIOS:
        sys.stderr.write(f"day: must be one of {', '.join(SCENARIOS)}\n")
        raise SystemExit(2)
    try:
        traffic, broken = asyncio.run(
            run_scenario(shape, day, seed, folder, rate, seconds, base_port)
        )
    except AssertionError as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(1) from error
    sys.stdout.write(scenario_report(traffic, broken) + "\n")
    if broken:
        raise SystemExit(1)


def platform(
    *,
    shape: str = "small",
    day: str = "calm",
    seed: int = 1,
    folder: str = "platform-data",
    history: str = "",
) -> None:
    """Run a scenario of the platform with real processes on loopback, and print a report.

    Parameters
    ----------
    shape
        small, wide, one-zone or two-faults.
    day
        scenario named in docs/proof.md, such as calm, faults, power-off, retire or races.
    seed
        seed of names, traffic and faults.
    folder
        directory for settings, data and logs; it is emptied first.
    history
        file for the rows of the recorded history, one JSON line each.
    """
    for name, value, known in (("shape", shape, ALL_SHAPES), ("day", day, PLATFORM_DAYS)):
        if value not in known:
            sys.stderr.write(f"{name}: must be one of {', '.join(known)}\n")
            raise SystemExit(2)
    try:
        text, broken = asyncio.run(play_day(shape, day, seed, folder, history))
    except AssertionError as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(1) from error
    sys.stdout.write(text + "\n")
    if broken:
        raise SystemExit(1)
