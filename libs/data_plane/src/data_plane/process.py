"""One process: settings, logs, signals, and the service that owns the node and its HTTP server.

SIGTERM makes it unready at once and lets it finish or hand over within the grace time. SIGHUP reads
the settings again, applies what may change and logs what may not.
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
from runtime import Settings, load_settings, log, set_up_logs
from runtime.settings import changed_settings
from storage import FolderDisk

__all__ = ["NodeProcess", "run_loaded", "run_process", "settings_or_exit"]

Load = Callable[[], Result[Settings, list[str]]]

# shares of grace_ms: the most that draining takes, and how often it looks
_DRAIN_SHARE = 0.8
_POLL_SHARE = 0.02
# the share of resume_ms after which the settings file is looked at again
_WATCH_SHARE = 0.1


class NodeProcess(Service):
    """What the programs' processes share; a role overrides make, busy, wind_down and apply.

    `make_extra_services` returns services that are run beside the role's own; it is called once
    they are made.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.env = self.make_environment()
        self.disk: FolderDisk | None = None
        self.node: Any = None
        self.runner: NodeRunner | None = None
        self.make_extra_services: Callable[[], list[Service]] = list

    def make_environment(self) -> ProcessEnvironment:
        """Return the node's environment: clock, random numbers and log."""
        return ProcessEnvironment(self.settings.link)

    def make_transport(self, deliver: Any) -> LinkTransport:
        """Return what sends and receives the fleet's messages; `deliver` gets them."""
        return LinkTransport(self.settings.link, self.settings.request_timeout_ms, deliver)

    def open_disk(self) -> FolderDisk:
        """Open the data folder; if a flush fails the process crashes."""
        loop = asyncio.get_running_loop()

        def run_on_loop(callback: Callable[[], None]) -> None:
            loop.call_soon_threadsafe(callback)

        self.disk = FolderDisk(
            self.settings.data_folder, self.settings.disk_bytes, run_on_loop, self._disk_broken
        )
        return self.disk

    def _disk_broken(self) -> None:
        """Crash, as it is not known what the kernel still holds.

        Others take over, and a restart reads the files anew.
        """
        log("disk-broken", "ERROR", folder=self.settings.data_folder)
        self.add_future(self.crash(OSError("a flush failed")))

    async def make(self) -> None:
        """Make the node and its services; raises NotImplementedError unless a role overrides it."""
        raise NotImplementedError

    async def on_start(self) -> None:
        """Make the node, and start its loop."""
        await self.make()
        for service in self.make_extra_services():
            await self.add_runtime_dependency(service)
        self.runner = NodeRunner(self.node, self.env, self.make_transport(self.node.receive))
        await self.add_runtime_dependency(self.runner)

    async def on_stop(self) -> None:
        """Close the disk."""
        if self.disk is not None:
            self.disk.close()

    def busy(self) -> bool:
        """Whether draining has to wait for something."""
        return False

    def start_draining(self) -> None:
        """Begin to drain; a role overrides it."""
        return

    def wind_down(self) -> None:
        """Stop what draining has not finished; a role overrides it."""
        return

    def apply(self, settings: Settings) -> None:
        """Apply changed settings."""
        self.settings = self.node.settings = settings
        if self.disk is not None:
            self.disk.capacity_bytes = settings.disk_bytes

    async def drain(self) -> None:
        """Drain: wait while the process is busy, for at most a share of `grace_ms`."""
        self.start_draining()
        end_at = asyncio.get_running_loop().time() + self.settings.grace_ms * _DRAIN_SHARE / 1000
        while self.busy() and asyncio.get_running_loop().time() < end_at:
            await asyncio.sleep(self.settings.grace_ms * _POLL_SHARE / 1000)
        self.wind_down()
        await asyncio.sleep(self.settings.grace_ms * _POLL_SHARE / 1000)


def settings_or_exit(loaded: Result[Any, list[str]]) -> Any:
    """Return the settings; raises SystemExit(2) after printing what is wrong with them."""
    if loaded.is_error():
        for problem in loaded.error:
            sys.stderr.write(f"settings: {problem}\n")
        raise SystemExit(2)
    return loaded.ok


class _Supervisor:
    """Runs a process until a signal or a crash; rereads its settings meanwhile.

    `load` reads the settings; `watched` is a file that may change without a signal, or empty.
    """

    __slots__ = ("_load", "_process", "_stopping", "_watched")

    def __init__(self, process: NodeProcess, load: Load, watched: str) -> None:
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
        await self._wait_for_the_end()
        if self._stopping.is_set():
            log("draining")
            await self._process.drain()
        failure = self._process.crash_reason
        await self._process.stop()
        log("stopped")
        if failure is not None:
            raise SystemExit(1)

    async def _wait_for_the_end(self) -> None:
        """Wait for a signal to stop or a crash, and watch the settings meanwhile."""
        crashed = asyncio.ensure_future(self._process.wait_until_stopped())
        stopped = asyncio.ensure_future(self._stopping.wait())
        watching = asyncio.ensure_future(self._watch_settings()) if self._watched else None
        await asyncio.wait([crashed, stopped], return_when=asyncio.FIRST_COMPLETED)
        if watching is not None:
            watching.cancel()

    def _reread_settings(self) -> None:
        """Read the settings again, apply those that may change, and log those that may not."""
        loaded = self._load()
        if loaded.is_error():
            log("settings-refused", "ERROR", problems=loaded.error)
            return
        settings, applied, need_restart = changed_settings(self._process.settings, loaded.ok)
        self._process.apply(settings)
        set_up_logs(settings.log_level, role=settings.role, node=settings.link)
        log("settings-reread", applied=applied, need_restart=need_restart)

    async def _watch_settings(self) -> None:
        """Reread the settings whenever the file's time or size has changed."""
        interval_s = _WATCH_SHARE * self._process.settings.resume_ms / 1000
        seen = _file_stamp(self._watched)
        while True:
            await asyncio.sleep(interval_s)
            stamp = _file_stamp(self._watched)
            if stamp not in (seen, None):
                seen = stamp
                self._reread_settings()


def _file_stamp(path: str) -> tuple[int, int] | None:
    """Return a file's time of change in nanoseconds and its size, or None if there is none."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


async def _supervise(
    make: Callable[[Settings], NodeProcess], settings: Settings, load: Load, watched: str
) -> None:
    await _Supervisor(make(settings), load, watched).run()


def run_process(
    make: Callable[[Settings], NodeProcess],
    settings: Settings,
    path: str | None,
    flags: dict[str, Any],
) -> None:
    """Run a process until SIGTERM, with settings from a TOML file and flags."""
    run_loaded(make, settings, lambda: load_settings(path, flags))


def run_loaded(
    make: Callable[[Settings], NodeProcess], settings: Settings, load: Load, watched: str = ""
) -> None:
    """Run a process until SIGTERM; raises SystemExit(1) if it can't start or has crashed.

    `load` reads the settings again; `watched` is a file that may change without a signal.
    """
    set_up_logs(settings.log_level, role=settings.role, node=settings.link)
    try:
        asyncio.run(_supervise(make, settings, load, watched))
    except OSError as error:
        log("cannot-start", "ERROR", reason=str(error))
        raise SystemExit(1) from error
