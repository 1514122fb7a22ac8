"""The oracle: judges a recorded history against every rule of what must never happen. Each rule is a
function from the history to the breaches it finds; it is tested with histories that break each."""

from collections import defaultdict
from typing import Any

from facsimile.sim.history import History

__all__ = ["RULES", "judge"]

_SLACK_MS = 250.0


def _unsafe_twice(history: History) -> list[str]:
    runs: dict[str, list[str]] = defaultdict(list)
    for run in history.of("run"):
        if not run["safe"]:
            runs[run["key"] or f"{run['lot']}#{run['index']}"].append(run["transaction"])
    return [f"{name} ran {len(found)} times: {found}" for name, found in runs.items() if len(found) > 1]


def _not_run_but_ran(history: History) -> list[str]:
    ran = {run["call"] for run in history.of("run")}
    found = [f"{call['call']} was told notRun and ran" for call in history.of("call")
             if call["verdict"] == "notRun" and call["call"] in ran]
    byKey = {run["key"]: run["atMs"] for run in history.of("run") if run["key"]}
    found += [f"key {call['key']} was told notRun at {call['answeredMs']} after it had run"
              for call in history.of("call")
              if call["verdict"] == "notRun" and call["key"] in byKey and byKey[call["key"]] < call["answeredMs"]]
    tries: dict[str, list[str]] = defaultdict(list)
    for row in history.of("hand-in"):
        tries[row["lot"]].append(row["verdict"])
    lots = {run["lot"] for run in history.of("run") if run["lot"]}
    found += [f"{lot} was refused at every try and ran" for lot, verdicts in tries.items()
              if lot in lots and set(verdicts) == {"notRun"}]
    return found


def _streams(history: History) -> list[str]:
    ended = {row["transaction"]: row["pieces"] for row in history.of("run-ended")}
    found = []
    for call in history.of("call"):
        names = {text.partition(":")[0] for text in call["pieces"]}
        places = [int(text.partition(":")[2]) for text in call["pieces"]]
        if len(names) > 1:
            found.append(f"{call['call']}: pieces of {len(names)} runs")
        if places != list(range(len(places))):
            found.append(f"{call['call']}: pieces {places}")
        if call["outcome"] == "finish" and (call["transaction"] not in ended
                                            or len(places) != ended[call["transaction"]]):
            found.append(f"{call['call']}: looked complete with {len(places)} pieces")
    return found


def _bodies(history: History) -> list[str]:
    ended = {row["transaction"]: row["pieces"] for row in history.of("run-ended")}
    runs = {run["transaction"]: run for run in history.of("run")}
    found = []

    def whole(text: str) -> str:
        parts = text.split("|")
        name = parts[0].partition(":")[0]
        return name if parts == [f"{name}:{place}" for place in range(ended.get(name, -1))] else ""

    for call in history.of("call"):
        if call["outcome"] in ("finish", "replay"):
            name = whole(call["body"])
            if not name or runs[name]["key"] != call["key"] or (not call["key"] and runs[name]["call"] != call["call"]):
                found.append(f"{call['call']}: body {call['body']!r}")
    for read in history.of("read"):
        for index, outcome, text in read["results"]:
            if outcome == "ran":
                name = whole(text)
                if not name or (runs[name]["lot"], runs[name]["index"]) != (read["lot"], index):
                    found.append(f"{read['lot']}#{index}: result {text!r}")
    return found


def _allowed(history: History) -> list[str]:
    allowed = set(history.settings.get("allowed", ["gpu"]))
    return [f"{run['transaction']} reached {run['worker']}" for run in history.of("run")
            if not allowed & ({run["identity"]} | set(run["labels"]))]


def _gone_workers(history: History) -> list[str]:
    limitMs = history.settings.get("forceMs", 2000) + _SLACK_MS
    gone: dict[str, float] = {}
    for row in history.of("worker-left"):
        gone.setdefault(row["worker"], row["atMs"])
    return [f"{row['transaction']} was sent to {row['worker']} {row['atMs'] - gone[row['worker']]:.0f} ms after it left"
            for row in history.of("send") if row["worker"] in gone and row["atMs"] > gone[row["worker"]] + limitMs]


def _in_force(history: History) -> list[str]:
    limitMs = history.settings.get("forceMs", 2000) + _SLACK_MS
    acked = sorted((row["answeredMs"], row["version"]) for row in history.of("change") if row["outcome"] == "ok")
    found, place, due = [], 0, 0
    highest: dict[tuple[str, int], int] = {}
    for sample in history.of("sample"):
        while place < len(acked) and acked[place][0] + limitMs <= sample["atMs"]:
            due = max(due, acked[place][1])
            place += 1
        if sample["ready"] and sample["number"] < due:
            found.append(f"{sample['edge']} at {sample['atMs']}: version {sample['number']}, {due} was acknowledged")
        life = (sample["edge"], sample["life"])
        if sample["number"] < highest.get(life, 0):
            found.append(f"{sample['edge']} fell back to {sample['number']}")
        highest[life] = max(highest.get(life, 0), sample["number"])
    return found


def _lost_changes(history: History) -> list[str]:
    byMark: dict[str, set[str]] = defaultdict(set)
    for row in history.of("change"):
        byMark[row["mark"]].add(row["outcome"])
    lost = {mark for mark, outcomes in byMark.items() if "lost" in outcomes}
    both = [f"{mark} was told ok and lost" for mark in lost if "ok" in byMark[mark]]
    seen = {sample["mark"] for sample in history.of("sample")}
    return both + [f"{mark} lost and took effect" for mark in sorted(lost & seen)]


def _kept(history: History) -> list[str]:
    found = []
    acked: dict[str, float] = {}
    for row in history.of("hand-in"):
        if row["outcome"] in ("admitted", "known"):
            acked.setdefault(row["lot"], row["answeredMs"])
    results: dict[tuple[str, int], str] = {}
    for read in history.of("read"):
        lot = read["lot"]
        if read["outcome"] == "missing" and lot in acked and read["atMs"] - _SLACK_MS * 20 > acked[lot]:
            found.append(f"{lot} was accepted at {acked[lot]} and missing at {read['atMs']}")
        indexes = [index for index, _, _ in read["results"]]
        if indexes != list(range(read["start"], read["start"] + len(indexes))):
            found.append(f"{lot}: listed {indexes} from {read['start']}")
        for index, _, text in read["results"]:
            if results.setdefault((lot, index), text) != text:
                found.append(f"{lot}#{index} changed")
    return found


def _kept_at_the_end(history: History) -> list[str]:
    final = {row["lot"]: row for row in history.of("final")}
    found = []
    listed: dict[str, int] = defaultdict(int)
    for read in history.of("read"):
        if read["results"]:
            listed[read["lot"]] = max(listed[read["lot"]], read["results"][-1][0] + 1)
    for row in history.of("hand-in"):
        if row["outcome"] in ("admitted", "known") and final:
            last = final.get(row["lot"])
            if last is None or last["outcome"] != "known":
                found.append(f"{row['lot']} was accepted and at the end is {last and last['outcome']}")
            elif last["listed"] < listed[row["lot"]]:
                found.append(f"{row['lot']} lists {last['listed']}, {listed[row['lot']]} were read")
    return found


def _ended_lots(history: History) -> list[str]:
    limitMs = history.settings.get("endMs", 3000) + _SLACK_MS
    ended: dict[str, float] = {}
    for row in history.of("end"):
        ended.setdefault(row["lot"], row["atMs"])
    return [f"{run['lot']}#{run['index']} ran {run['atMs'] - ended[run['lot']]:.0f} ms after the end"
            for run in history.of("run") if run["lot"] in ended and run["atMs"] > ended[run["lot"]] + limitMs]


def _waiting_room(history: History) -> list[str]:
    room = history.settings.get("room", 3)
    return [f"{row['store']} at {row['atMs']}: {row['used']} lots wait on {row['path']}" for row in history.of("room")
            if row["used"] > room]


def _resumed(history: History) -> list[str]:
    return [f"{row['what']} did not work {row['afterMs']:.0f} ms after the machines were back: {row['seen']}"
            for row in history.of("probe") if not row["worked"]]


RULES: dict[str, Any] = {
    "unsafe-runs-once": _unsafe_twice, "not-run-is-true": _not_run_but_ran, "streams-are-whole": _streams,
    "bodies-are-whole": _bodies, "workers-are-allowed": _allowed, "gone-workers-get-nothing": _gone_workers,
    "versions-in-force": _in_force, "lost-changes-stay-lost": _lost_changes, "accepted-is-kept": _kept,
    "kept-at-the-end": _kept_at_the_end, "ended-lots-stop": _ended_lots, "waiting-room-is-exact": _waiting_room,
    "service-resumes": _resumed}


def judge(history: History) -> dict[str, list[str]]:
    """The breaches by rule; empty when the history breaks none."""
    found = {name: rule(history) for name, rule in RULES.items()}
    return {name: rows for name, rows in found.items() if rows}
