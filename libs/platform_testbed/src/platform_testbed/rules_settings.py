"""Rules about configurations.

What is acknowledged is in force in time and stays so, what lost or was refused never is, and what
is read back is what was sent. Versions are told apart by the services that they let run a request.
"""

from typing import Any

from simulator.history import History

from platform_testbed.reachability import Touch, of_tries
from platform_testbed.rules_live import Found, runs_by_id
from platform_testbed.site import allowed_services, route_of

__all__ = ["acks", "in_force", "later_routes", "losers", "never_back", "read_back", "recovered"]


def _versions(history: History) -> list[dict[str, Any]]:
    """The orders that may ever be in force, by their numbers."""
    return sorted(
        (row for row in history.rows_of("order") if row["valid"] and row["outcome"] != "refused"),
        key=lambda row: row["revision"],
    )


def _possible(
    versions: list[dict[str, Any]], sent_ms: float, till_ms: float, slack_ms: float
) -> list[dict[str, Any]]:
    acked = [
        row["revision"]
        for row in versions
        if row["outcome"] == "acked" and row["acked_ms"] < sent_ms - slack_ms
    ]
    floor = max(acked, default=0)
    return [row for row in versions if row["revision"] >= floor and row["at_ms"] <= till_ms]


def in_force(history: History) -> Found:
    """Requests and items follow a version that may be in force when they are sent.

    An acknowledged version replaces the older ones `applyMs` after its acknowledgement, later where
    the core is unsettled.
    """
    touch, versions, runs = Touch(history), _versions(history), runs_by_id(history)
    slack_ms, stretch_ms = (
        history.settings["timing"]["applyMs"],
        history.settings["timing"]["stretchMs"],
    )
    judged, found = 0, []
    for row in of_tries(history):
        more_ms = touch.slack_ms(row["node"], row["sent_ms"], row["ended_ms"], stretch_ms)
        if more_ms is None:
            continue
        possible = [
            allowed_services(version["settings"], row["host"], row["target"])
            for version in _possible(versions, row["sent_ms"], row["ended_ms"], slack_ms + more_ms)
        ]
        if not possible:
            continue
        if row["status"] == 404 and not row["seal"]:
            judged += 1
            if None not in possible:
                found.append(
                    f"{row['id']} at {row['node']}: 404 on {row['host']}{row['target']}, which "
                    "every version in force has"
                )
        for run in runs.get(row["id"], []):
            judged += 1
            if not any(services and run["service"] in services for services in possible):
                found.append(
                    f"{row['id']} at {row['node']}, sent at {row['sent_ms']:.0f}: "
                    f"{run['service']} ran it, in force are {possible}"
                )
    items = {name for job in history.rows_of("lot") for name in job["items"]}
    for run in history.rows_of("run"):
        if run["id"] not in items or not touch.calm(run["came_ms"]):
            continue
        judged += 1
        possible = [
            allowed_services(version["settings"], run["host"], run["target"])
            for version in _possible(versions, run["came_ms"], run["at_ms"], slack_ms)
        ]
        if possible and not any(services and run["service"] in services for services in possible):
            found.append(f"item {run['id']}: {run['service']} ran it, in force are {possible}")
    return judged, found


def never_back(history: History) -> Found:
    """Within one life of a machine's process, no request follows an older version again."""
    versions, runs = _versions(history), runs_by_id(history)
    slack_ms = history.settings["timing"]["revertSlackMs"]
    judged, found = 0, []
    seen: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for row in sorted(of_tries(history), key=lambda row: row["sent_ms"]):
        for run in runs.get(row["id"], []):
            numbers = [
                version["revision"]
                for version in versions
                if version["at_ms"] <= run["at_ms"]
                and run["service"]
                in (allowed_services(version["settings"], row["host"], row["target"]) or ())
            ]
            if not numbers:
                continue
            judged += 1
            mine = seen.setdefault((row["node"], row["life"]), [])
            floor = max(
                (number for at_ms, number in mine if at_ms < row["sent_ms"] - slack_ms), default=0
            )
            if max(numbers) < floor:
                found.append(
                    f"{row['node']} ran {row['id']} by version {max(numbers)} after {floor} had "
                    "been seen there"
                )
            mine.append((run["at_ms"], min(numbers)))
    return judged, found


def later_routes(history: History) -> Found:
    """Routes that were added later, if twenty or more, are served as well as the first ones."""
    touch, versions = Touch(history), _versions(history)
    first = {row["name"] for version in versions[:1] for row in version["settings"]["routes"]}
    served: dict[bool, list[bool]] = {True: [], False: []}
    names = set()
    for row in of_tries(history):
        possible = _possible(
            versions, row["sent_ms"], row["ended_ms"], history.settings["timing"]["applyMs"]
        )
        found = [route_of(version["settings"], row["host"], row["target"]) for version in possible]
        if (
            found
            and all(found)
            and not row["left"]
            and touch.machine(row["node"], row["sent_ms"], row["ended_ms"])
        ):
            later = found[0]["name"] not in first
            names |= {found[0]["name"]} if later else set()
            served[later].append(row["status"] == 200)
    if len(names) < 20 or not served[False]:
        return 0, []
    shares = {later: sum(rows) / len(rows) for later, rows in served.items()}
    return len(served[True]), [
        f"{shares[True]:.2f} of requests on {len(names)} later routes served, {shares[False]:.2f} "
        "on the first"
    ] * (shares[True] < shares[False] / 4)


def losers(history: History) -> Found:
    """An invalid order is never acknowledged, and of orders on one base at most one is.

    What was refused never runs a request and is never read back.
    """
    orders, found = history.rows_of("order"), []
    for row in orders:
        if row["outcome"] == "acked" and not row["valid"]:
            found.append(f"{row['what']} was acknowledged though it is invalid")
    won: dict[int, list[str]] = {}
    for row in orders:
        if row["outcome"] == "acked":
            won.setdefault(row["base"], []).append(row["name"])
    found += [
        f"{names} on top of {base} were all acknowledged"
        for base, names in won.items()
        if len(names) > 1
    ]
    held = [row["settings"] for row in orders if row["valid"] and row["outcome"] != "refused"]
    lost = [row for row in orders if row["outcome"] == "refused" or not row["valid"]]
    for run in history.rows_of("run"):
        by_held = any(
            run["service"] in (allowed_services(settings, run["host"], run["target"]) or ())
            for settings in held
        )
        if not by_held and any(
            run["service"] in (allowed_services(row["settings"], run["host"], run["target"]) or ())
            for row in lost
        ):
            found.append(
                f"{run['server']} ran {run['host']}{run['target']}, as only a refused "
                "configuration has it"
            )
    numbers = {row["revision"] for row in lost} - {
        row["revision"] for row in orders if row["valid"] and row["outcome"] != "refused"
    }
    found += [
        f"refused version {row['settings'].get('revision')} was read back"
        for row in history.rows_of("read-back")
        if row["settings"] and row["settings"].get("revision") in numbers
    ]
    return len(lost), found


def read_back(history: History) -> Found:
    """What is read back is as new as the last acknowledgement, and as it was sent."""
    rows, found = history.rows_of("read-back"), []
    versions = _versions(history)
    newest = max((row["revision"] for row in versions if row["outcome"] == "acked"), default=0)
    for row in rows:
        settings = row["settings"]
        if not settings:
            found.append("the configuration did not come")
            continue
        if settings.get("revision", 0) < newest:
            found.append(f"version {settings.get('revision')} came, {newest} had been acknowledged")
        if not any(settings == version["settings"] for version in versions):
            found.append(
                f"version {settings.get('revision')} is not what was sent under its number"
            )
    return len(rows), found


def recovered(history: History) -> Found:
    """After the closing fault, a quarter of the requests later than the bound are served."""
    bound_ms = history.settings["timing"]["recoveryS"] * 1000
    judged, found = 0, []
    for row in history.rows_of("back"):
        asked = [
            request
            for request in history.rows_of("request")
            if request["at_ms"] > row["at_ms"] + bound_ms
        ]
        good = [
            request
            for request in asked
            if any(
                made.get("how") == "answered" and made["status"] == 200 for made in request["tries"]
            )
        ]
        judged += len(asked)
        if 4 * len(good) < len(asked):
            found.append(
                f"{len(good)} of {len(asked)} served later than {bound_ms:.0f} ms after the "
                "machines were back"
            )
    return judged, found


def acks(history: History) -> Found:
    """A valid order is acknowledged in time while the core is settled.

    So are four in five of the workers that leave.
    """
    touch, bound_ms = Touch(history), history.settings["timing"]["ackMs"]
    judged, found = 0, []
    for row in history.rows_of("order"):
        till_ms = row["at_ms"] + bound_ms
        if (
            row["what"] == "first"
            or not row["valid"]
            or not row["answered_ms"]
            or not touch.settled(row["at_ms"], till_ms)
        ):
            continue
        judged += 1
        if row["outcome"] == "unclear" or row["answered_ms"] > till_ms:
            found.append(
                f"{row['what']} of version {row['revision']} was answered after "
                f"{row['answered_ms'] - row['at_ms']:.0f} ms: {row['outcome']}"
            )
    left = [
        row
        for row in history.rows_of("worker-gone")
        if row["how"] == "left" and touch.settled(row["at_ms"] - bound_ms, row["at_ms"])
    ]
    without = [row["server"] for row in left if not row["acked"]]
    if 5 * len(without) > len(left):
        found.append(f"{without} left without an acknowledgement")
    return judged + len(left), found
