"""The control plane's command line: `serve`, and the operators' commands to any control node.

The first line and the parameters of each command's docstring are its help text.
"""

import secrets
import sys
from pathlib import Path
from typing import Annotated, Literal

from cyclopts import App, Parameter
from data_plane.cli import read_json, request_and_print, serve_flags
from data_plane.process import run_process, settings_or_exit
from runtime import load_settings

from control_plane.process import ControlProcess
from control_plane.usage import export_usage

__all__ = ["main"]

app = App(name="vaneledge-control", help="vaneledge's control plane, and the operators' commands.")
profiles = App(name="profiles", help="Show, send, patch and explain the tree of profiles.")
usage = App(name="usage", help="Export usage.")
loans = App(name="loans", help="Show, grant and recall loans of whole workers.")
app.command(profiles)
app.command(loans)
app.command(usage)

Server = Annotated[str, Parameter(name="--server", help="a control node's HTTP address, IP:PORT")]


@app.command
def serve(
    *,
    settings: str | None = None,
    link: str | None = None,
    http: str | None = None,
    zone: str | None = None,
    seed: Annotated[list[str] | None, Parameter(negative=())] = None,
    data_folder: str | None = None,
    control_count: int | None = None,
    log_level: str | None = None,
) -> None:
    """Run a control node until SIGTERM.

    Parameters
    ----------
    settings: a TOML file; flags win over it, and SIGHUP reads it again.
    link: address for the fleet's own messages, IP:PORT.
    http: address for operators, IP:PORT.
    zone: the zone this machine is in.
    seed: link address of another process; up to three times.
    data_folder: where files live.
    control_count: how many control machines found the fleet.
    log_level: DEBUG, INFO, WARNING or ERROR.
    """
    flags = {
        **serve_flags(link, http, zone, seed, data_folder, control_count, log_level),
        "role": "control",
    }
    checked = settings_or_exit(load_settings(settings, flags))
    run_process(ControlProcess, checked, settings, flags)


@usage.command
def export(
    *logs: Path,
    out: Path,
    form: Annotated[Literal["parquet", "csv"], Parameter(name="--format")] = "parquet",
) -> None:
    """Export what finished, once each, from edges' JSON logs.

    Parameters
    ----------
    logs: the logs of all edges.
    out: the file to write.
    form: parquet or csv.
    """
    try:
        counts = export_usage(logs, out, form)
    except ModuleNotFoundError as error:
        sys.stderr.write(f"{error}; install the extra: pip install 'control_plane[usage]'\n")
        raise SystemExit(2) from error
    except OSError as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(2) from error
    sys.stdout.write(
        f"{counts.written} rows in {out}; {counts.unreadable} lines could not be read\n"
    )


@profiles.command(name="show")
def show_profiles(*, server: Server) -> None:
    """Show the tree and its version."""
    request_and_print("GET", server, "/profiles")


@profiles.command
def send(file: str, *, server: Server, version: int, change_id: str | None = None) -> None:
    """Send a whole tree from a JSON file, naming the version it replaces (0 for the first)."""
    request_and_print(
        "PUT",
        server,
        "/profiles",
        {
            "version": version,
            "change_id": change_id or secrets.token_hex(8),
            "tree": read_json(file),
        },
    )


@profiles.command
def patch(file: str, *, server: Server, version: int, change_id: str | None = None) -> None:
    """Send a JSON merge patch on the tree, naming the version it replaces."""
    request_and_print(
        "PATCH",
        server,
        "/profiles",
        {
            "version": version,
            "change_id": change_id or secrets.token_hex(8),
            "patch": read_json(file),
        },
    )


@profiles.command
def explain(name: str, *, server: Server) -> None:
    """Show where each value of a profile comes from."""
    request_and_print("GET", server, f"/profiles/{name}/explained")


@app.command
def members(*, server: Server) -> None:
    """Show members, their status, duties and epochs, and their places in the feed."""
    request_and_print("GET", server, "/members")


@app.command
def workers(*, server: Server) -> None:
    """Show the list of workers that control keeps, and the age of each one's last heartbeat."""
    request_and_print("GET", server, "/workers")


@loans.command(name="show")
def show_loans(*, server: Server) -> None:
    """Show who is lent to whom, in which state, and under which epoch."""
    request_and_print("GET", server, "/loans")


@loans.command
def grant(
    worker: str,
    *,
    server: Server,
    borrower: str,
    weights: str = "",
    lease_ms: int = 60_000,
    recall_ms: int = 5000,
) -> None:
    """Lend a whole worker, once every edge has let go of it; refused where live calls need it.

    Parameters
    ----------
    worker: its identity.
    server: a control node's HTTP address, IP:PORT.
    borrower: who gets it.
    weights: what it has to have when it comes back; anything if empty.
    lease_ms: for how long; then it is recalled.
    recall_ms: how long the borrower has to hand it back.
    """
    request_and_print(
        "PUT",
        server,
        f"/loans/{worker}",
        {"borrower": borrower, "weights": weights, "lease_ms": lease_ms, "recall_ms": recall_ms},
    )


@loans.command
def recall(worker: str, *, server: Server, reason: str = "an operator wants it back") -> None:
    """Want a worker back; one that is only about to be lent serves again at once."""
    request_and_print("POST", server, f"/loans/{worker}/recalled", {"reason": reason})


@app.command
def retire(identity: str, *, server: Server, undo: bool = False) -> None:
    """Empty and retire a store or control machine, by identity or node name.

    A spare takes its place; then it may be stopped.
    """
    request_and_print(
        "POST",
        server,
        "/retired",
        {"identity": identity, "undo": undo, "change_id": secrets.token_hex(8)},
    )


@app.command
def forget(*links: str, server: Server) -> None:
    """Declare edges or stores, by link address, down for good, so that they no longer count."""
    request_and_print("POST", server, "/forgotten", {"links": list(links)})


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
