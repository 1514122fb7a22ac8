"""Runs a fleet of real processes on loopback addresses of this machine, for trials and tests.

`Fleet` sends signals only to processes that it started, by process id.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp

from testbed.fault_injection.injected_faults import write_faults

__all__ = ["SHAPES", "Fleet", "FleetProcess", "wait_until"]

SHAPES = {
    "jade": {"edges": 6, "stores": 3, "control": 5, "workers": 7},
    "swan": {"edges": 8, "stores": 3, "control": 5, "workers": 6},
    "thin": {"edges": 2, "stores": 3, "control": 5, "workers": 2},
}
"""The number of nodes and workers of each shape, by role."""
ZONES = ("north", "south", "west")


class FleetProcess:
    """A node or a stand-in worker of the fleet, and its process once it was started.

    `link` is the address for messages between nodes, empty for a worker, and `http` that of the
    HTTP server. `frozen_spans` has the begin and end, in Unix seconds, of each time that the
    process was stopped by SIGSTOP.
    """

    __slots__ = ("command", "frozen_spans", "http", "link", "log_file", "name", "process", "role")

    def __init__(
        self, name: str, role: str, link: str, http: str, command: list[str], log_file: Path
    ) -> None:
        self.name, self.role, self.link, self.http = name, role, link, http
        self.command, self.log_file = command, log_file
        self.process: subprocess.Popen | None = None
        self.frozen_spans: list[tuple[float, float]] = []

    def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        with open(self.log_file, "ab") as output:
            self.process = subprocess.Popen(
                self.command, stdout=output, stderr=output, stdin=subprocess.DEVNULL
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None


async def wait_until(
    check: Callable[[], Any], deadline_ms: int, what: str, every_ms: int = 50
) -> Any:
    """Poll a coroutine function every `every_ms` until its result is truthy, and return it.

    A connection error or a time-out counts as a falsy result. Raises AssertionError after
    `deadline_ms`, with the condition `what` and the last result or error.
    """
    loop = asyncio.get_running_loop()
    end_at = loop.time() + deadline_ms / 1000
    seen: Any = None
    while True:
        try:
            seen = await check()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            seen = None
            last = repr(error)
        else:
            last = repr(seen)
        if seen:
            return seen
        if loop.time() >= end_at:
            raise AssertionError(f"not within {deadline_ms} ms: {what} (last result: {last[:500]})")
        await asyncio.sleep(every_ms / 1000)


class Fleet:
    """A fleet of nodes and stand-in workers.

    As a context manager it starts all processes and kills them at the end.

    Parameters
    ----------
    folder
        The directory of settings files, logs, the nodes' data and the workers' records of runs.
    shape
        The number of processes by role, as in SHAPES.
    base_port
        The first port that is used; a node takes two, a worker one.
    settings
        Settings that are written into the file of every node.
    injection
        Whether processes run with fault injection, which `inject` controls.
    """

    def __init__(
        self,
        folder: str,
        shape: dict[str, int],
        base_port: int = 21000,
        host: str = "127.0.0.1",
        settings: dict[str, Any] | None = None,
        injection: bool = False,
    ) -> None:
        self.injection = injection
        self._steps: dict[str, int] = {}
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.shape, self.host = shape, host
        self._port = base_port
        self._settings = settings or {}
        self.members: dict[str, FleetProcess] = {}
        self.workers: dict[str, FleetProcess] = {}
        self.session: aiohttp.ClientSession | None = None
        self.seeds = [f"{host}:{base_port + 2 * index}" for index in range(3)]
        for index in range(shape["control"]):
            self.add("control", f"control{index + 1}")
        for index in range(shape["stores"]):
            self.add("store", f"store{index + 1}")
        for index in range(shape["edges"]):
            self.add("edge", f"edge{index + 1}")
        for index in range(shape["workers"]):
            self.add_worker(f"worker{index + 1}")

    def _address(self) -> str:
        self._port += 1
        return f"{self.host}:{self._port - 1}"

    def _live_seeds(self) -> list[str]:
        """Return the links of three running nodes, or the first seeds if fewer are running."""
        running = [member.link for member in self.members.values() if member.is_running]
        return running[:3] if len(running) >= 3 else self.seeds

    def add(self, role: str, name: str) -> FleetProcess:
        """Add a node and write its settings file, without starting it."""
        link, http = self._address(), self._address()
        zone = ZONES[len(self.members) % len(ZONES)]
        values = {
            "link": link,
            "http": http,
            "zone": zone,
            "seeds": self._live_seeds(),
            "control_count": self.shape["control"],
            "store_count": 3,
            **self._settings,
        }
        if role != "edge":
            values["data_folder"] = str(self.folder / name)
        path = self.folder / f"{name}.toml"
        path.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items()))
        program = "control_plane" if role == "control" else "data_plane"
        command = [sys.executable, "-m", f"{program}.cli", "serve", "--settings", str(path)]
        if self.injection:
            command = [
                sys.executable,
                "-m",
                "testbed.cli",
                "node",
                "--settings",
                str(path),
                "--name",
                name,
                "--weather",
                str(self.faults_file),
                "--seed",
                str(len(self.members)),
            ]
        if role != "control" or self.injection:
            command += ["--role", role]
        member = FleetProcess(name, role, link, http, command, self.folder / f"{name}.log")
        self.members[name] = member
        return member

    def add_worker(self, name: str, *extra: str) -> FleetProcess:
        """Add a stand-in worker, without starting it.

        `extra` are further arguments of its command line.
        """
        http = self._address()
        edges = [member.http for member in self.members.values() if member.role == "edge"]
        command = [
            sys.executable,
            "-m",
            "testbed.cli",
            "worker",
            "--identity",
            name,
            "--http",
            http,
            "--zone",
            ZONES[len(self.workers) % len(ZONES)],
            "--label",
            "gpu",
            "--runs-file",
            str(self.folder / f"{name}.runs"),
            *extra,
        ]
        if self.injection:
            command += ["--weather", str(self.faults_file)]
        for edge in edges:
            command += ["--edge", edge]
        member = FleetProcess(name, "worker", "", http, command, self.folder / f"{name}.log")
        self.workers[name] = member
        return member

    def with_role(self, role: str) -> list[FleetProcess]:
        """Return the running nodes of a role."""
        return [
            member for member in self.members.values() if member.role == role and member.is_running
        ]

    def all_processes(self) -> list[FleetProcess]:
        """Return all nodes and workers, running or not."""
        return [*self.members.values(), *self.workers.values()]

    @property
    def faults_file(self) -> Path:
        """The file of the faults to inject, which all processes read again when it changes."""
        return self.folder / "weather.json"

    def inject(
        self,
        cuts: list[tuple[str, str]] | None = None,
        steps: dict[str, int] | None = None,
        loss: float = 0.0,
        slow: dict[str, int] | None = None,
    ) -> None:
        """Set the faults that are injected; earlier ones end, except that clocks stay stepped.

        Faults apply to an added process once this has been called after `add` or `add_worker`.

        Parameters
        ----------
        cuts
            Pairs of names, sender and receiver, between which nothing passes.
        steps
            The milliseconds by which wall clocks are off, by name.
        loss
            The share of messages between nodes that is lost, from 0 to 1.
        slow
            The milliseconds by which messages to and from a node are delayed, by name.
        """
        self._steps.update(steps or {})
        machines = {
            address: member.name
            for member in self.all_processes()
            for address in (member.link, member.http)
            if address
        }
        write_faults(self.faults_file, machines, cuts or [], slow or {}, loss, self._steps)

    def cuts_between(
        self, one: list[FleetProcess], other: list[FleetProcess]
    ) -> list[tuple[str, str]]:
        """Return the cuts that separate two groups of processes in both directions."""
        return [pair for a in one for b in other for pair in ((a.name, b.name), (b.name, a.name))]

    async def get(self, member: FleetProcess, address: str) -> tuple[int, Any]:
        """Send a GET request to a node; return status and body, as `request` does."""
        return await self.request("GET", member.http, address)

    async def request(
        self,
        method: str,
        http: str,
        address: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_ms: int = 15000,
    ) -> tuple[int, Any]:
        """Send an HTTP request; return the status and the body, parsed if it is JSON.

        `http` is the server's address and `address` the path. Raises aiohttp.ClientError, and
        TimeoutError after `timeout_ms`.
        """
        async with self.session.request(
            method,
            f"http://{http}{address}",
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_ms / 1000),
        ) as response:
            text = await response.text()
            try:
                return response.status, json.loads(text)
            except ValueError:
                return response.status, text

    async def all_ready(self, roles: tuple[str, ...] = ("control", "store", "edge")) -> bool:
        """Return whether all running nodes of these roles report that they are ready."""
        for role in roles:
            for member in self.with_role(role):
                status, _ = await self.get(member, "/ready")
                if status != 200:
                    return False
        return True

    async def __aenter__(self) -> "Fleet":
        self.session = aiohttp.ClientSession()
        if self.injection:
            self.inject()
        for member in self.all_processes():
            member.start()
        return self

    async def __aexit__(self, *failure: Any) -> None:
        await self.session.close()
        for member in self.all_processes():
            member.signal(signal.SIGCONT)
            member.signal(signal.SIGKILL)
        for member in self.all_processes():
            if member.process is not None:
                member.process.wait()

    async def bootstrap(self, tree: dict[str, Any], deadline_ms: int = 30000) -> int:
        """Put the first profile tree in force and wait until all nodes are ready.

        Returns the tree's version. Raises AssertionError if the tree is not accepted, or if control
        nodes, stores or, with the tree, all nodes are not ready within `deadline_ms` each.
        """
        await wait_until(lambda: self.all_ready(("control",)), deadline_ms, "control is ready")
        await wait_until(lambda: self.all_ready(("store",)), deadline_ms, "stores are ready")
        status, body = await self.request(
            "PUT",
            self.with_role("control")[0].http,
            "/profiles",
            {"version": 0, "change_id": "first", "tree": tree},
        )
        if status != 200:
            raise AssertionError(f"the first profile tree was refused with status {status}: {body}")
        await wait_until(self.all_ready, deadline_ms, "all nodes are ready")
        return body["version"]

    async def wait_for_workers(self, count: int, deadline_ms: int = 15000) -> None:
        """Wait until every edge reports at least `count` workers that are usable and allowed."""

        async def all_reported() -> bool:
            for member in self.with_role("edge"):
                _, body = await self.get(member, "/status")
                if sum(1 for row in body["workers"] if row["usable"] and row["allowed"]) < count:
                    return False
            return True

        await wait_until(all_reported, deadline_ms, f"{count} workers usable at every edge")
