"""What the workers of a fleet of real processes ran, from the files that they write.

These have the runs of killed workers too.
"""

import json
from pathlib import Path
from typing import Any

from simulator.history import History

from testbed.fleet import Fleet

__all__ = ["add_worker_runs"]


def add_worker_runs(history: History, fleet: Fleet, started_at: float) -> None:
    """Add the workers' runs to the history, and the times for which nodes were frozen.

    The call of a run is named by the prompt, or else found by the transaction of the response.
    Lines that are not JSON are passed over, such as one that a killed worker had begun.
    `started_at` is the start of the history in Unix seconds.
    """
    by_transaction = {
        row["transaction"]: row for row in history.rows_of("call") if row["transaction"]
    }
    for path in sorted(Path(fleet.folder).glob("*.runs")):
        for line in path.read_text().splitlines():
            try:
                row = json.loads(line)
            except ValueError:
                continue
            at_ms = row["wall_ms"] - started_at * 1000
            if row["kind"] == "run":
                _add_run(history, row, at_ms, by_transaction)
            elif row["kind"] == "run-ended":
                history.add(
                    "run-ended",
                    at_ms,
                    worker=row["worker"],
                    transaction=row["transaction"],
                    event_count=row["pieces"],
                )
            else:
                history.add("worker-left", at_ms, worker=row["worker"], how=row["kind"])
    for member in fleet.members.values():
        for from_at, to_at in member.frozen_spans:
            history.add(
                "away",
                (from_at - started_at) * 1000,
                name=member.http,
                until_ms=(to_at - started_at) * 1000,
            )
    history.rows.sort(key=lambda row: row["at_ms"])


def _add_run(
    history: History, row: dict[str, Any], at_ms: float, by_transaction: dict[str, Any]
) -> None:
    words = row["prompt"].split()
    name = next((word for word in words if word.startswith("call")), "")
    call = by_transaction.get(row["transaction"])
    is_item = "item" in words
    safe = row["path"] not in ("moves", "claims")
    key = next((word for word in words if word.startswith("key")), "")
    history.add(
        "run",
        at_ms,
        worker=row["worker"],
        identity=row["identity"],
        labels=row["labels"],
        address=row["address"],
        transaction=row["transaction"],
        path=row["path"],
        safe=safe,
        body="",
        question=words[3] if key and len(words) > 3 else "",
        call=name
        or (call["call"] if call else "" if not is_item else f"item:{words[1]}:{words[3]}"),
        lot=words[1] if is_item else "",
        index=int(words[3]) if is_item else -1,
        key=key,
    )
    history.add("send", at_ms, worker=row["worker"], transaction=row["transaction"])
