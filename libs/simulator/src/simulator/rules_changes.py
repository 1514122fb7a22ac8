"""Rules about changes of the profiles: when they take effect, and that they are kept.

Each rule takes a history and returns a Judgement.
"""

from collections import defaultdict

from simulator.history import History, RowKind
from simulator.judgement import SLACK_MS, Judgement

__all__ = [
    "changes_kept",
    "lost_changes",
    "versions_in_force",
]


def versions_in_force(history: History) -> Judgement:
    """At a ready edge, each version is in force `force_ms` after its acknowledgement.

    Within one incarnation of its process, an edge never returns to an older version.
    """
    limit_ms = history.settings.get("force_ms", 2000) + SLACK_MS
    acked = sorted(
        (row["answered_ms"], row["version"])
        for row in history.rows_of(RowKind.CHANGE)
        if row["outcome"] == "ok"
    )
    breaches, position, due, judged = [], 0, 0, 0
    highest: dict[tuple[str, int], int] = {}
    for sample in history.rows_of(RowKind.SAMPLE):
        while position < len(acked) and acked[position][0] + limit_ms <= sample["at_ms"]:
            due = max(due, acked[position][1])
            position += 1
        judged += sample["ready"] and due > 0
        if sample["ready"] and sample["number"] < due:
            breaches.append(
                f"{sample['edge']} at {sample['at_ms']} ms: version {sample['number']}, "
                f"{due} was acknowledged"
            )
        incarnation = (sample["edge"], sample["incarnation"])
        if sample["number"] < highest.get(incarnation, 0):
            breaches.append(f"{sample['edge']} returned to version {sample['number']}")
        highest[incarnation] = max(highest.get(incarnation, 0), sample["number"])
    return Judgement(judged, breaches)


def lost_changes(history: History) -> Judgement:
    """A change that is reported as lost, or refused at every try, never takes effect."""
    outcomes_by_change: dict[str, set[str]] = defaultdict(set)
    for row in history.rows_of(RowKind.CHANGE):
        outcomes_by_change[row["change_id"]].add(row["outcome"])
    lost = {
        change_id
        for change_id, outcomes in outcomes_by_change.items()
        if "lost" in outcomes or outcomes == {"refused"}
    }
    contradictory = [
        f"{change_id} was reported as both acknowledged and lost"
        for change_id in lost
        if "ok" in outcomes_by_change[change_id]
    ]
    seen = {sample["change_id"] for sample in history.rows_of(RowKind.SAMPLE)}
    return Judgement(
        len(lost) if seen - {""} else 0,
        contradictory
        + [
            f"{change_id} was reported as lost or refused, but took effect"
            for change_id in sorted(lost & seen)
        ],
    )


def changes_kept(history: History) -> Judgement:
    """An acknowledged change that is sent again at the end is acknowledged with its version."""
    acked = {
        row["change_id"]: row["version"]
        for row in history.rows_of(RowKind.CHANGE)
        if row["outcome"] == "ok"
    }
    finals = history.rows_of(RowKind.FINAL_CHANGE)
    breaches = [
        f"{row['change_id']} was acknowledged with version {acked[row['change_id']]}, "
        f"at the end: {row['outcome']} {row['version']}"
        for row in finals
        if row["change_id"] in acked
        and (row["outcome"], row["version"]) != ("ok", acked[row["change_id"]])
    ]
    return Judgement(len(finals), breaches)
