"""The platform's rules about configurations.

An acknowledged configuration is in force in time and stays so; one that lost against a concurrent
change or was refused never is; and what is read back is what was sent. Which version was in force
is inferred from the services that each version allows to run a request.
"""

from typing import Any

from simulator.history import History

from platform_testbed.reachability import Reachability, sent_attempts
from platform_testbed.rules_live import RuleResult, runs_by_id
from platform_testbed.site import allowed_services, route_of

__all__ = ["acks", "in_force", "later_routes", "losers", "never_back", "read_back", "recovered"]


def _versions(history: History) -> list[dict[str, Any]]:
    """Return the configurations that may ever be in force, by version: valid and not refused."""
    return sorted(
        (row for row in history.rows_of("order") if row["valid"] and row["outcome"] != "refused"),
        key=lambda row: row["revision"],
    )


def _possibly_in_force(
    versions: list[dict[str, Any]], sent_ms: float, till_ms: float, slack_ms: float
) -> list[dict[str, Any]]:
    acked = [
        row["revision"]
        for row in versions
        if row["outcome"] == "acked" and row["acked_ms"] < sent_ms - slack_ms
    ]
    floor = max(acked, default=0)
    return [row for row in versions if row["revision"] >= floor and row["at_ms"] <= till_ms]


def in_force(history: History) -> RuleResult:
    """Requests and items follow a version that may be in force when they are sent.

    An acknowledged version replaces the older ones `applyMs` after its acknowledgement; while part
    of the core is out of contact, `stretchMs` later for requests. Items are judged only while all
    machines are in contact.
    """
    reachability, versions, runs = Reachability(history), _versions(history), runs_by_id(history)
    slack_ms, stretch_ms = (
        history.settings["timing"]["applyMs"],
        history.settings["timing"]["stretchMs"],
    )
    judged, breaches = 0, []
    for row in sent_attempts(history):
        more_ms = reachability.slack_ms(row["node"], row["sent_ms"], row["ended_ms"], stretch_ms)
        if more_ms is None:
            continue
        possible = [
            allowed_services(version["settings"], row["host"], row["target"])
            for version in _possibly_in_force(
                versions, row["sent_ms"], row["ended_ms"], slack_ms + more_ms
            )
        ]
        if not possible:
            continue
        if row["status"] == 404 and not row["seal"]:
            judged += 1
            if None not in possible:
                breaches.append(
                    f"{row['id']} at {row['node']}: 404 on {row['host']}{row['target']}, for "
                    "which every version that may be in force has a route"
                )
        for run in runs.get(row["id"], []):
            judged += 1
            if not any(services and run["service"] in services for services in possible):
                breaches.append(
                    f"{row['id']} at {row['node']}, sent at {row['sent_ms']:.0f}: "
                    f"{run['service']} ran it, in force are {possible}"
                )
    items = {name for job in history.rows_of("lot") for name in job["items"]}
    for run in history.rows_of("run"):
        if run["id"] not in items or not reachability.all_in_contact(run["came_ms"]):
            continue
        judged += 1
        possible = [
            allowed_services(version["settings"], run["host"], run["target"])
            for version in _possibly_in_force(versions, run["came_ms"], run["at_ms"], slack_ms)
        ]
        if possible and not any(services and run["service"] in services for services in possible):
            breaches.append(f"item {run['id']}: {run['service']} ran it, in force are {possible}")
    return judged, breaches


def never_back(history: History) -> RuleResult:
    """In one incarnation of a machine, requests never follow an older version than before."""
    versions, runs = _versions(history), runs_by_id(history)
    slack_ms = history.settings["timing"]["revertSlackMs"]
    judged, breaches = 0, []
    seen: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for row in sorted(sent_attempts(history), key=lambda row: row["sent_ms"]):
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
            seen_versions = seen.setdefault((row["node"], row["life"]), [])
            floor = max(
                (number for at_ms, number in seen_versions if at_ms < row["sent_ms"] - slack_ms),
                default=0,
            )
            if max(numbers) < floor:
                breaches.append(
                    f"{row['node']} ran {row['id']} by version {max(numbers)} after {floor} had "
                    "been seen there"
                )
            seen_versions.append((run["at_ms"], min(numbers)))
    return judged, breaches


def later_routes(history: History) -> RuleResult:
    """Requests on routes that were added later are served like those on the first routes.

    The share that succeeds must be at least a quarter of that on the first routes. Judged only if
    requests reached twenty or more later routes.
    """
    reachability, versions = Reachability(history), _versions(history)
    first = {row["name"] for version in versions[:1] for row in version["settings"]["routes"]}
    served: dict[bool, list[bool]] = {True: [], False: []}
    names = set()
    for row in sent_attempts(history):
        possible = _possibly_in_force(
            versions, row["sent_ms"], row["ended_ms"], history.settings["timing"]["applyMs"]
        )
        routes = [route_of(version["settings"], row["host"], row["target"]) for version in possible]
        if (
            routes
            and all(routes)
            and not row["left"]
            and reachability.in_contact(row["node"], row["sent_ms"], row["ended_ms"])
        ):
            later = routes[0]["name"] not in first
            names |= {routes[0]["name"]} if later else set()
            served[later].append(row["status"] == 200)
    if len(names) < 20 or not served[False]:
        return 0, []
    shares = {later: sum(rows) / len(rows) for later, rows in served.items()}
    return len(served[True]), [
        f"{shares[True]:.2f} of requests on {len(names)} later routes were served, but "
        f"{shares[False]:.2f} on the first routes"
    ] * (shares[True] < shares[False] / 4)


def losers(history: History) -> RuleResult:
    """An invalid configuration is never acknowledged, nor are two changes based on one version.

    A refused or invalid configuration never routes a request and is never read back.
    """
    orders, breaches = history.rows_of("order"), []
    for row in orders:
        if row["outcome"] == "acked" and not row["valid"]:
            breaches.append(f"the invalid configuration {row['what']} was acknowledged")
    acked_by_base: dict[int, list[str]] = {}
    for row in orders:
        if row["outcome"] == "acked":
            acked_by_base.setdefault(row["base"], []).append(row["name"])
    breaches += [
        f"{names} on top of {base} were all acknowledged"
        for base, names in acked_by_base.items()
        if len(names) > 1
    ]
    possible_settings = [
        row["settings"] for row in orders if row["valid"] and row["outcome"] != "refused"
    ]
    losing_orders = [row for row in orders if row["outcome"] == "refused" or not row["valid"]]
    for run in history.rows_of("run"):
        by_held = any(
            run["service"] in (allowed_services(settings, run["host"], run["target"]) or ())
            for settings in possible_settings
        )
        if not by_held and any(
            run["service"] in (allowed_services(row["settings"], run["host"], run["target"]) or ())
            for row in losing_orders
        ):
            breaches.append(
                f"{run['server']} ran {run['host']}{run['target']}, which only a "
                "refused or invalid configuration allows"
            )
    numbers = {row["revision"] for row in losing_orders} - {
        row["revision"] for row in orders if row["valid"] and row["outcome"] != "refused"
    }
    breaches += [
        f"refused version {row['settings'].get('revision')} was read back"
        for row in history.rows_of("read-back")
        if row["settings"] and row["settings"].get("revision") in numbers
    ]
    return len(losing_orders), breaches


def read_back(history: History) -> RuleResult:
    """What is read back is at least as new as the last acknowledged version, and as it was sent."""
    rows, breaches = history.rows_of("read-back"), []
    versions = _versions(history)
    newest = max((row["revision"] for row in versions if row["outcome"] == "acked"), default=0)
    for row in rows:
        settings = row["settings"]
        if not settings:
            breaches.append("the configuration could not be read back")
            continue
        if settings.get("revision", 0) < newest:
            breaches.append(
                f"version {settings.get('revision')} was read back, {newest} had been acknowledged"
            )
        if not any(settings == version["settings"] for version in versions):
            breaches.append(
                f"version {settings.get('revision')} is not what was sent under its number"
            )
    return len(rows), breaches


def recovered(history: History) -> RuleResult:
    """From `recoveryS` after a power failure on, at least a quarter of the requests succeed."""
    bound_ms = history.settings["timing"]["recoveryS"] * 1000
    judged, breaches = 0, []
    for row in history.rows_of("back"):
        requests = [
            request
            for request in history.rows_of("request")
            if request["at_ms"] > row["at_ms"] + bound_ms
        ]
        served = [
            request
            for request in requests
            if any(
                attempt.get("how") == "answered" and attempt["status"] == 200
                for attempt in request["tries"]
            )
        ]
        judged += len(requests)
        if 4 * len(served) < len(requests):
            breaches.append(
                f"{len(served)} of {len(requests)} served later than {bound_ms:.0f} ms after the "
                "machines were back"
            )
    return judged, breaches


def acks(history: History) -> RuleResult:
    """While the core is in contact, a valid change is answered within `ackMs`.

    The first configuration doesn't count. The draining of at least four in five of the workers that
    leave is acknowledged.
    """
    reachability, bound_ms = Reachability(history), history.settings["timing"]["ackMs"]
    judged, breaches = 0, []
    for row in history.rows_of("order"):
        till_ms = row["at_ms"] + bound_ms
        if (
            row["what"] == "first"
            or not row["valid"]
            or not row["answered_ms"]
            or not reachability.core_in_contact(row["at_ms"], till_ms)
        ):
            continue
        judged += 1
        if row["outcome"] == "unclear" or row["answered_ms"] > till_ms:
            breaches.append(
                f"{row['what']} of version {row['revision']} was answered after "
                f"{row['answered_ms'] - row['at_ms']:.0f} ms: {row['outcome']}"
            )
    left = [
        row
        for row in history.rows_of("worker-gone")
        if row["how"] == "left"
        and reachability.core_in_contact(row["at_ms"] - bound_ms, row["at_ms"])
    ]
    without = [row["server"] for row in left if not row["acked"]]
    if 5 * len(without) > len(left):
        breaches.append(f"{without} left without an acknowledgement of their draining")
    return judged + len(left), breaches
