"""Rules about what is kept: versions, batches, results, the waiting room, and recovery time.

Each rule takes a history and returns how many rows it judged and the breaches it found.
"""

from collections import defaultdict

from simulator.history import History, RowKind
from simulator.rules_calls import SLACK_MS, Found

__all__ = [
    "changes_kept",
    "cancelled_jobs",
    "in_force",
    "kept",
    "kept_at_the_end",
    "lost_changes",
    "jobs_in_time",
    "resumed",
    "waiting_room",
]

_ACCEPTED = ("admitted", "known")


def in_force(history: History) -> Found:
    """An edge that takes requests has each version `force_ms` after it was acknowledged.

    Within one incarnation of its process, an edge never returns to an older version.
    """
    limit_ms = history.settings.get("force_ms", 2000) + SLACK_MS
    acked = sorted(
        (row["answered_ms"], row["version"])
        for row in history.rows_of(RowKind.CHANGE)
        if row["outcome"] == "ok"
    )
    found, place, due, judged = [], 0, 0, 0
    highest: dict[tuple[str, int], int] = {}
    for sample in history.rows_of(RowKind.SAMPLE):
        while place < len(acked) and acked[place][0] + limit_ms <= sample["at_ms"]:
            due = max(due, acked[place][1])
            place += 1
        judged += sample["ready"] and due > 0
        if sample["ready"] and sample["number"] < due:
            found.append(
                f"{sample['edge']} at {sample['at_ms']}: version {sample['number']}, "
                f"{due} was acknowledged"
            )
        incarnation = (sample["edge"], sample["incarnation"])
        if sample["number"] < highest.get(incarnation, 0):
            found.append(f"{sample['edge']} fell back to {sample['number']}")
        highest[incarnation] = max(highest.get(incarnation, 0), sample["number"])
    return judged, found


def lost_changes(history: History) -> Found:
    """A change reported as lost, or refused at every try, never takes effect."""
    outcomes_by_change: dict[str, set[str]] = defaultdict(set)
    for row in history.rows_of(RowKind.CHANGE):
        outcomes_by_change[row["change_id"]].add(row["outcome"])
    lost = {
        change_id
        for change_id, outcomes in outcomes_by_change.items()
        if "lost" in outcomes or outcomes == {"refused"}
    }
    both = [
        f"{change_id} was told ok and lost"
        for change_id in lost
        if "ok" in outcomes_by_change[change_id]
    ]
    seen = {sample["change_id"] for sample in history.rows_of(RowKind.SAMPLE)}
    return len(lost) if seen - {""} else 0, both + [
        f"{change_id} lost and took effect" for change_id in sorted(lost & seen)
    ]


def changes_kept(history: History) -> Found:
    """An acknowledged change, sent again at the end, is known under the version it was given."""
    acked = {
        row["change_id"]: row["version"]
        for row in history.rows_of(RowKind.CHANGE)
        if row["outcome"] == "ok"
    }
    finals = history.rows_of(RowKind.FINAL_CHANGE)
    found = [
        f"{row['change_id']} was acknowledged as {acked[row['change_id']]}, "
        f"at the end {row['outcome']} {row['version']}"
        for row in finals
        if row["change_id"] in acked
        and (row["outcome"], row["version"]) != ("ok", acked[row["change_id"]])
    ]
    return len(finals), found


def kept(history: History) -> Found:
    """A read begun after the acknowledgement finds the batch, and a result never changes."""
    acked: dict[str, float] = {}
    for row in history.rows_of(RowKind.SUBMISSION):
        if row["outcome"] in _ACCEPTED:
            acked[row["lot"]] = min(acked.get(row["lot"], 1e12), row["answered_ms"])
    found, judged = [], 0
    results: dict[tuple[str, int], str] = {}
    for read in history.rows_of(RowKind.READ):
        job = read["lot"]
        judged += job in acked and read["began_ms"] > acked[job]
        if read["outcome"] == "missing" and job in acked and read["began_ms"] > acked[job]:
            found.append(
                f"{job} was accepted at {acked[job]} "
                f"and missing for a read begun at {read['began_ms']}"
            )
        indexes = [index for index, _, _ in read["results"]]
        if indexes != list(range(read["start"], read["start"] + len(indexes))):
            found.append(f"{job}: listed {indexes} from {read['start']}")
        for index, outcome, text in read["results"]:
            if results.setdefault((job, index), f"{outcome} {text}") != f"{outcome} {text}":
                found.append(f"{job}#{index} changed")
    return judged, found


def kept_at_the_end(history: History) -> Found:
    """At the end each accepted batch is known, with at least the results listed before."""
    final = {row["lot"]: row for row in history.rows_of(RowKind.FINAL_READ)}
    found, judged = [], 0
    listed: dict[str, int] = defaultdict(int)
    for read in history.rows_of(RowKind.READ):
        if read["results"]:
            listed[read["lot"]] = max(listed[read["lot"]], read["results"][-1][0] + 1)
    for row in history.rows_of(RowKind.SUBMISSION):
        if row["outcome"] in _ACCEPTED and final:
            judged += 1
            last = final.get(row["lot"])
            if last is None or last["outcome"] != "known":
                found.append(
                    f"{row['lot']} was accepted and at the end is {last and last['outcome']}"
                )
            elif last["listed"] < listed[row["lot"]]:
                found.append(f"{row['lot']} lists {last['listed']}, {listed[row['lot']]} were read")
    return judged, found


def cancelled_jobs(history: History) -> Found:
    """No item of a batch starts later than `end_ms` after the batch was ended."""
    limit_ms = history.settings.get("end_ms", 3000) + SLACK_MS
    ended: dict[str, float] = {}
    for row in history.rows_of(RowKind.CANCELLATION):
        ended.setdefault(row["lot"], row["at_ms"])
    return len(ended), [
        f"{run['lot']}#{run['index']} ran {run['at_ms'] - ended[run['lot']]:.0f} ms after the end"
        for run in history.rows_of(RowKind.RUN)
        if run["lot"] in ended and run["at_ms"] > ended[run["lot"]] + limit_ms
    ]


def waiting_room(history: History) -> Found:
    """No more batches wait on a path at once than its waiting room allows.

    This is judged by the holder's own count, and from outside: a batch was open from its
    acknowledgement until the start of the last read that still showed it open.
    """
    room = history.settings.get("room", 3)
    rows = history.rows_of(RowKind.BACKLOG)
    found = [
        f"{row['store']} at {row['at_ms']}: {row['used']} lots wait on {row['path']}"
        for row in rows
        if row["used"] > room
    ]
    spans: dict[str, tuple[str, float]] = {}
    for row in history.rows_of(RowKind.SUBMISSION):
        if row["outcome"] in _ACCEPTED and row["lot"] not in spans:
            spans[row["lot"]] = (row["path"], row["answered_ms"])
    open_to: dict[str, float] = {}
    for read in history.rows_of(RowKind.READ):
        if read["outcome"] == "known" and not read["ended"] and read["listed"] < read["total"]:
            open_to[read["lot"]] = max(open_to.get(read["lot"], 0.0), read["began_ms"])
    edges: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for job, (path, from_ms) in spans.items():
        if open_to.get(job, 0.0) > from_ms:
            edges[path] += [(from_ms, 1), (open_to[job], -1)]
    for path, moves in edges.items():
        waiting = 0
        for at_ms, step in sorted(moves):
            waiting += step
            if waiting > room:
                found.append(f"{waiting} lots were open on {path} at {at_ms:.0f}")
    return len(rows) + len(open_to), found


def jobs_in_time(history: History) -> Found:
    """Batches that were not ended are done by their deadline.

    Those with a fault between shortly before the acknowledgement and the deadline are left out.
    """
    due_ms = history.settings.get("lots_due_ms", 10_000)
    faults = [row["at_ms"] for row in history.rows_of(RowKind.FAULT)]
    found, judged = [], 0
    for row in history.rows_of(RowKind.JOB_DONE):
        if any(row["from_ms"] - due_ms < at_ms < row["from_ms"] + due_ms for at_ms in faults):
            continue
        judged += 1
        if row["at_ms"] - row["from_ms"] > due_ms + SLACK_MS:
            found.append(
                f"{row['lot']} was done {row['at_ms'] - row['from_ms']:.0f} ms after its receipt"
            )
    return judged, found


def resumed(history: History) -> Found:
    """Each kind of request works `resume_ms` after the machines are back."""
    rows = history.rows_of(RowKind.PROBE)
    return len(rows), [
        f"{row['what']} did not work {row['after_ms']:.0f} ms "
        f"after the machines were back: {row['seen']}"
        for row in rows
        if not row["worked"]
    ]
