"""The commands that run processes: stand-in workers, nodes with injected faults, whole fleets."""

import asyncio
import signal
import sys
from typing import Annotated, Literal

from cyclopts import Parameter
from data_plane.process import settings_or_exit
from platform_testbed.command import ALL_SHAPES, PLATFORM_DAYS, play_day
from runtime import load_settings

from testbed.fault_injection import InjectedFaults, run_node
from testbed.report import day_report
from testbed.scenario_run import run_day
from testbed.scenarios import DAYS
from testbed.worker import StandInWorker

__all__ = ["fleet", "node", "platform", "worker"]


async def _work(worker: StandInWorker) -> None:
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
    """Run a stand-in model worker until SIGTERM, on which it leaves.

    Parameters
    ----------
    identity: its name, which profiles may allow.
    http: its own address, IP:PORT.
    edge: an edge's HTTP address for heartbeats; may be given several times.
    zone: the zone it is in.
    label: a label that profiles may allow; may be given several times.
    slots: how many completions run at a time.
    token_ms: time for one token.
    tokens: how many tokens an answer has unless the call says otherwise.
    prefill_ms: what a prompt whose prefix is not cached costs.
    cache_prefixes: how many prefixes the cache holds.
    runs_file: where each run is noted as a JSON line, for the oracle.
    weather: a file of faults, which says which edges its heartbeats can't reach.
    """
    asyncio.run(
        _work(
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
    """Run a program's process with the faults that a file names; SIGKILL is a power cut.

    Parameters
    ----------
    role: control, edge or store.
    settings: the process's TOML file.
    name: the machine's name in the file of faults.
    weather: the file of faults, read again whenever it changes.
    seed: draws which unflushed writes reach the disk early.
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
    """Run a whole fleet on this machine with a day's faults under traffic, and print a report.

    Parameters
    ----------
    shape: jade (six edges, seven workers), swan (eight edges, six workers) or thin.
    day: one of those that docs/proof.md names, such as calm, weather, members, power or isolated.
    seed: for traffic and faults.
    folder: where data and logs go; it is emptied first.
    rate: rulings and flags a second, each; other live calls come at half of it.
    seconds: how long traffic goes on at the least.
    base_port: first loopback port to use.
    """
    if day not in DAYS:
        sys.stderr.write(f"day: one of {', '.join(DAYS)}\n")
        raise SystemExit(2)
    try:
        traffic, broken = asyncio.run(run_day(shape, day, seed, folder, rate, seconds, base_port))
    except AssertionError as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(1) from error
    sys.stdout.write(day_report(traffic, broken) + "\n")
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
    """Play a day of the platform with real processes on loopback, and print a report.

    Parameters
    ----------
    shape: small, wide, one-zone or two-faults.
    day: one of those that docs/proof.md names, such as calm, faults, power-off, retire or races.
    seed: for names, traffic and faults.
    folder: where settings, data and logs go; it is emptied first.
    history: a file for the day's rows, one JSON line each.
    """
    for name, value, known in (("shape", shape, ALL_SHAPES), ("day", day, PLATFORM_DAYS)):
        if value not in known:
            sys.stderr.write(f"{name}: one of {', '.join(known)}\n")
            raise SystemExit(2)
    try:
        text, broken = asyncio.run(play_day(shape, day, seed, folder, history))
    except AssertionError as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(1) from error
    sys.stdout.write(text + "\n")
    if broken:
        raise SystemExit(1)
