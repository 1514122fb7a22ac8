"""Runs a node in a process: settings, logs, signals, and the service that owns the node.

On SIGTERM or SIGINT the process becomes unready at once, and finishes or hands over its work within
`grace_ms`. On SIGHUP it rereads its settings, applies those that may change while it runs, and logs
the names of the others that changed.
"""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from typing import Any

from expression import Result
from messaging.links import LinkTransport
from messaging.node_runner import NodeRunner, ProcessEnvironment
from mode import Service
from runtime import (
    MemoryBudget,
    Settings,
    load_settings,
    log,
    request_memory_bytes,
    set_up_logs,
)
from runtime.settings import changed_settings
from storage import FolderDisk

from data_plane.body_reader import BodyReader
from data_plane.drain_schedule import DrainSchedule
from data_plane.http_service import HttpService

__all__ = ["NodeProcess", "run_loaded", "run_process", "settings_or_exit"]

SettingsLoader = Callable[[], Result[Settings, list[str]]]

# The share of `resume_ms` after which the settings file is checked for changes again.
_WATCH_SHARE = 0.1


class NodeProcess(Service):
    """Base class of the processes of all roles.

    A role overrides `create_node`, and where it needs them `start_draining`, `busy`,
    `stop_unfinished` and `apply`. `make_extra_services` returns further services to run; it is
    called after `create_node`. `memory_budget` is what clients' requests may hold at a time.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.memory_budget = MemoryBudget(request_memory_bytes(settings.memory_bytes))
        self.env = self.make_environment()
        self.disk: FolderDisk | None = None
        self.node: Any = None
        self.runner: NodeRunner | None = None
        self.make_extra_services: Callable[[], list[Service]] = list

    def make_environment(self) -> ProcessEnvironment:
        """Return the node's environment: clock, random numbers and log."""
        return ProcessEnvironment(self.settings.link)

    def make_transport(self, deliver: Any) -> LinkTransport:
        """Return the transport of messages between nodes; received ones are passed to `deliver`."""
        return LinkTransport(self.settings.link, self.settings.request_timeout_ms, deliver)

    def open_disk(self) -> FolderDisk:
        """Open the data folder.

        The process crashes after an input/output error on it other than a full device.
        """
        loop = asyncio.get_running_loop()

        def run_on_loop(callback: Callable[[], None]) -> None:
            loop.call_soon_threadsafe(callback)

        self.disk = FolderDisk(
            self.settings.data_folder, self.settings.disk_bytes, run_on_loop, self._on_disk_error
        )
        return self.disk

    def _on_disk_error(self) -> None:
        """Crash, since after the error it is unknown which writes the kernel still holds.

        Other nodes take over; after a restart the node reads what the files contain.
        """
        log("disk-broken", "ERROR", folder=self.settings.data_folder)
        self.add_future(self.crash(OSError("a write or flush to the data folder failed")))

    async def create_node(self) -> None:
        """Create the node and its services; each role overrides it."""
        raise NotImplementedError

    async def on_start(self) -> None:
        """Create the node and its services, and start them."""
        await self.create_node()
        for service in self.make_extra_services():
            await self.add_runtime_dependency(service)
        self.runner = NodeRunner(self.node, self.env, self.make_transport(self.node.receive))
        await self.add_runtime_dependency(self.runner)

    async def on_stop(self) -> None:
        """Close the disk."""
        if self.disk is not None:
            self.disk.close()

    def busy(self) -> bool:
        """Whether draining has to wait for work in progress; a role overrides it."""
        return False

    def make_http_service(self, middlewares: tuple[Any, ...] = ()) -> HttpService:
        """Return the HTTP server of the process's own interface, with these aiohttp middlewares."""
        settings = self.settings
        return HttpService(
            settings.http,
            settings.max_body_bytes,
            self.why_unready,
            lambda: {**self.status(), "request_memory": self._memory_status()},
            lambda: {**self.metrics(), **self._memory_metrics()},
            middlewares,
            BodyReader(self.memory_budget, settings.request_timeout_ms),
            settings.max_other_connections,
        )

    def _memory_status(self) -> dict[str, int]:
        budget = self.memory_budget
        return {"used_bytes": budget.used_bytes, "limit_bytes": budget.limit_bytes}

    def _memory_metrics(self) -> dict[str, float]:
        budget = self.memory_budget
        return {
            "request_memory_used_bytes": budget.used_bytes,
            "request_memory_limit_bytes": budget.limit_bytes,
            "request_memory_refused_total": budget.refused_count,
        }

    def why_unready(self) -> str:
        """Return why the process is not ready, or an empty string; a role overrides it."""
        raise NotImplementedError

    def status(self) -> dict[str, Any]:
        """Return the state for operators, the body of `/status`; a role overrides it."""
        raise NotImplementedError

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name; a role overrides it."""
        raise NotImplementedError

    def start_draining(self, schedule: DrainSchedule) -> None:
        """Become unready and begin to hand over; a role overrides it."""
        return

    def stop_unfinished(self) -> None:
        """Stop the work that was not finished while draining; a role overrides it."""
        return

    def apply(self, settings: Settings) -> None:
        """Apply changed settings."""
        self.settings = self.node.settings = settings
        self.memory_budget.limit_bytes = request_memory_bytes(settings.memory_bytes)
        if self.disk is not None:
            self.disk.capacity_bytes = settings.disk_bytes

    async def drain(self) -> None:
        """Start draining, and wait until the process is no longer busy.

        The wait is limited by the schedule's `end_ms`; what still runs then is stopped.
        """
        schedule = DrainSchedule(self.env.now(), self.settings.grace_ms)
        self.start_draining(schedule)
        while self.busy() and self.env.now() < schedule.end_ms:
            await asyncio.sleep(schedule.poll_ms / 1000)
        self.stop_unfinished()
        await asyncio.sleep(schedule.poll_ms / 1000)


def settings_or_exit(loaded: Result[Any, list[str]]) -> Any:
    """Return the settings; if they are invalid, print the problems and raise SystemExit(2)."""
    if loaded.is_error():
        for problem in loaded.error:
            sys.stderr.write(f"settings: {problem}\n")
        raise SystemExit(2)
    return loaded.ok


class _Supervisor:
    """Runs a process until a signal or a crash, and rereads its settings meanwhile.

    `load` reads the settings. `watched` is the path of a file whose changes cause a reread without
    a signal, or empty.
    """

    __slots__ = ("_load", "_process", "_stopping", "_watched")

    def __init__(self, process: NodeProcess, load: SettingsLoader, watched: str) -> None:
        self._process = process
        self._load = load
        self._watched = watched
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Run the process; raises SystemExit(1) if it has crashed."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reread_settings)
        await self._process.start()
        settings = self._process.settings
        log("started", zone=settings.zone, http=settings.http)
        await self._wait_for_signal_or_crash()
        if self._stopping.is_set():
            log("draining")
            await self._process.drain()
        failure = self._process.crash_reason
        await self._process.stop()
        log("stopped")
        if failure is not None:
            raise SystemExit(1)

    async def _wait_for_signal_or_crash(self) -> None:
        """Wait for SIGTERM, SIGINT or a crash, and watch the settings file meanwhile."""
        crashed = asyncio.ensure_future(self._process.wait_until_stopped())
        stopped = asyncio.ensure_future(self._stopping.wait())
        watching = asyncio.ensure_future(self._watch_settings()) if self._watched else None
        await asyncio.wait([crashed, stopped], return_when=asyncio.FIRST_COMPLETED)
        if watching is not None:
            watching.cancel()

    def _reread_settings(self) -> None:
        """Read the settings again, and apply the changed ones that don't need a restart.

        If any setting is invalid, all are left as they were and the problems are logged.
        """
        loaded = self._load()
        if loaded.is_error():
            log("settings-refused", "ERROR", problems=loaded.error)
            return
        settings, applied, need_restart = changed_settings(self._process.settings, loaded.ok)
        self._process.apply(settings)
        set_up_logs(settings.log_level, role=settings.role, node=settings.link)
        log("settings-reread", applied=applied, need_restart=need_restart)

    async def _watch_settings(self) -> None:
        """Reread the settings whenever the file's modification time or size has changed."""
        interval_s = _WATCH_SHARE * self._process.settings.resume_ms / 1000
        seen = _file_stamp(self._watched)
        while True:
            await asyncio.sleep(interval_s)
            stamp = _file_stamp(self._watched)
            if stamp not in (seen, None):
                seen = stamp
                self._reread_settings()


def _file_stamp(path: str) -> tuple[int, int] | None:
    """Return a file's modification time in nanoseconds and its size, or None if it is missing."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


async def _supervise(
    make: Callable[[Settings], NodeProcess], settings: Settings, load: SettingsLoader, watched: str
) -> None:
    await _Supervisor(make(settings), load, watched).run()


def run_process(
    make: Callable[[Settings], NodeProcess],
    settings: Settings,
    path: str | None,
    flags: dict[str, Any],
) -> None:
    """Run a process until SIGTERM or SIGINT; see `run_loaded` for its failures.

    When the settings are reread, they come from the TOML file at `path`, if any, and from `flags`.
    """
    run_loaded(make, settings, lambda: load_settings(path, flags))


def run_loaded(
    make: Callable[[Settings], NodeProcess],
    settings: Settings,
    load: SettingsLoader,
    watched: str = "",
) -> None:
    """Run a process until SIGTERM or SIGINT.

    Raises SystemExit(1) if the process can't start or has crashed.

    Parameters
    ----------
    make
        Returns the process for its settings.
    settings
        The settings to start with.
    load
        Reads the settings again.
    watched
        The path of a file whose changes cause a reread without SIGHUP; empty for none.
    """
    set_up_logs(settings.log_level, role=settings.role, node=settings.link)
    try:
        asyncio.run(_supervise(make, settings, load, watched))
    except OSError as error:
        log("cannot-start", "ERROR", reason=str(error))
        raise SystemExit(1) from error
