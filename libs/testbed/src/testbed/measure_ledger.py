"""How the batch state scales with the jobs that it keeps, on one replica and this machine's disk.

Measured are the memory and disk space of finished jobs, the time of a snapshot, of reading the log
back, and of an edge's heartbeat with open jobs.
"""

import gc
import random
import resource
import tempfile
import time
from typing import Any

from batch_state import entries as e
from batch_state import messages as m
from batch_state.item_dispatch import ItemDispatcher
from messaging import encode
from replicated_log import LocalLog, Stamp
from runtime import Settings
from storage import FolderDisk

__all__ = ["measure_ledger"]

_ITEMS = 80


class _SingleReplica:
    """A leader without followers: appended entries are applied and committed at once."""

    def __init__(self, log: LocalLog) -> None:
        self.log, self.epoch = log, 1
        self.settings = log.settings
        self.env = self
        self.counted = 0

    @property
    def state(self) -> Any:
        return self.log.state

    committed_state = state

    def now(self) -> int:
        return time.monotonic_ns() // 1_000_000

    def log_line(self, *words: Any, **fields: Any) -> None:
        return None

    def append(self, rows: list[Any], durable: bool, done: Any, urgent: bool = False) -> bool:
        for row in rows:
            self.state.apply(row)
        done("kept")
        return True


def _resident_mb() -> float:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() / 1e6


def _job_entries(rng: random.Random, number: int, body_bytes: int, finished: bool) -> list[Any]:
    name = f"lot{number}"
    texts = [rng.randbytes(body_bytes // 2).hex() for _ in range(2)]
    rows: list[Any] = [
        e.JobAdmitted(
            job_id=name,
            digest="d" * 32,
            path="summaries",
            safe=True,
            due_ms=number,
            at_ms=number,
            items=[f'{{"prompt": "{index} {texts[0]}"}}' for index in range(_ITEMS)],
        )
    ]
    if finished:
        for index in range(_ITEMS):
            rows.append(e.ItemClaimed(job_id=name, index=index, edge="edge-1", claim_number=1))
            rows.append(
                e.ItemFinished(
                    job_id=name,
                    index=index,
                    outcome="ran",
                    worker="w/1",
                    body=f'{{"id": "{number}-{index}", "text": "{texts[1]}"}}',
                )
            )
        rows.append(e.ListingLeaseGranted(job_id=name, edge="edge-1", epoch=1))
        rows.append(e.ListingAdvanced(job_id=name, up_to=_ITEMS, epoch=1))
    return rows


def _wait_until(disk: FolderDisk, check: Any) -> float:
    began_at = time.perf_counter()
    while not check():
        disk._worker.submit(lambda: None).result()
    return (time.perf_counter() - began_at) * 1000


def measure_ledger(jobs: int, body_bytes: int, keys: int = 0) -> str:
    """Measure with `jobs` finished jobs; return the report as text.

    `body_bytes` is the size of each item's body and of its result. `keys` is unused.
    """
    rng = random.Random(1)
    lines = []
    with tempfile.TemporaryDirectory() as folder:
        settings = Settings(
            role="store",
            link="127.0.0.1:1",
            http="127.0.0.1:2",
            zone="z",
            seeds=["127.0.0.1:1"],
            data_folder=folder,
            disk_bytes=1 << 34,
        )
        disk = FolderDisk(folder, settings.disk_bytes, lambda call: call())
        log = LocalLog(disk, settings, lambda: time.monotonic_ns() // 1_000_000, lambda: "a")
        before_mb = _resident_mb()
        worst_ms = 0.0
        for number in range(jobs):
            for row in _job_entries(rng, number, body_bytes, True):
                log.append(log.next_record(Stamp(1, log.last_stamp.time_ms + 1), encode(row)))
            log.flusher.flushed_seq = log.last_seq
            log.commit(log.last_seq)
            if number % 100 == 99:
                began_at = time.perf_counter()
                log.maintain_snapshot()
                worst_ms = max(worst_ms, (time.perf_counter() - began_at) * 1000)
                _wait_until(disk, lambda: not log.snapshot_in_progress())
                received_ms = log.buffer.received_ms
                received_ms[:-1] = [-1 << 40] * (len(received_ms) - 1)
                log.trim()
        log.maintain_snapshot(True)
        _wait_until(disk, lambda: not log.snapshot_in_progress())
        del log.records[:-1], log.buffer.received_ms[:-1]
        gc.collect()
        lines.append(
            f"{jobs} lots of {_ITEMS} that are over, bodies and results of {body_bytes} bytes: "
            f"{_resident_mb() - before_mb:.0f} MB "
            f"in memory, {sum(disk._sizes.values()) / 1e6:.0f} MB on disk"
        )
        began_at = time.perf_counter()
        size_bytes = len(log.snapshot())
        lines.append(
            f"  a snapshot: {(time.perf_counter() - began_at) * 1000:.0f} ms in the loop, "
            f"{size_bytes / 1e6:.1f} MB; "
            f"longest step of tidying {worst_ms:.0f} ms"
        )
        began_at = time.perf_counter()
        reopened = LocalLog(disk, settings, lambda: 0, lambda: "a")
        lines.append(
            f"  read back in {(time.perf_counter() - began_at) * 1000:.0f} ms, "
            f"{len(reopened.state.jobs)} lots"
        )
        for count in (10, 100):
            lines.append(
                f"  an edge's beat with {count} open lots of {_ITEMS}: "
                f"{_heartbeat_ms(log, rng, count, body_bytes):.2f} ms"
            )
        disk.close()
    return "\n".join(lines)


def _heartbeat_ms(log: LocalLog, rng: random.Random, count: int, body_bytes: int) -> float:
    replica = _SingleReplica(log)
    for number in range(count):
        for row in _job_entries(rng, 10_000_000 + number, body_bytes, False):
            log.state.apply(row)
    dispatcher = ItemDispatcher(replica, replica)
    durations_ms = []
    for _ in range(20):
        began_at = time.perf_counter()
        dispatcher.heartbeat(
            m.EdgeHeartbeat(
                edge="edge-1", address="x", capacity=0, paths=["summaries"], running=[]
            ),
            lambda receipt: None,
        )
        dispatcher.tick()
        durations_ms.append((time.perf_counter() - began_at) * 1000)
    for number in range(count):
        log.state.apply(e.JobExpired(job_id=f"lot{10_000_000 + number}"))
    return sorted(durations_ms)[len(durations_ms) // 2]
