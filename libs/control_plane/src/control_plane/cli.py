"""The command line of the control plane: `serve`, and the operators' commands.

An operators' command sends a request to a control node. The help text of a command is made from the
first line and the parameters of its docstring.
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

Server = Annotated[str, Parameter(name="--server", help="A control node's HTTP address, IP:PORT")]


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
    settings
        A TOML file; flags take precedence over it, and SIGHUP reloads it.
    link
        Address for messages between the nodes of the fleet, IP:PORT.
    http
        Address of the HTTP interface, IP:PORT.
    zone
        The zone of this machine.
    seed
        Link address of another node to join through; up to three times.
    data_folder
        The folder for this node's files.
    control_count
        How many control nodes bootstrap the fleet.
    log_level
        DEBUG, INFO, WARNING or ERROR.
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
    """Export finished requests and batch items, each once, from the JSON logs of edges.

    Parameters
    ----------
    logs
        The log files of all edges.
    out
        The file to write.
    form
        The file format, parquet or csv.
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
    """Show the tree of profiles and its version."""
    request_and_print("GET", server, "/profiles")


@profiles.command
def send(file: str, *, server: Server, version: int, change_id: str | None = None) -> None:
    """Replace the tree by that in a JSON file; `--version` is the version replaced, 0 if none."""
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
    """Change the tree by a JSON merge patch from a file; `--version` is the version replaced."""
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
    """Show the members with their status, their roles and epochs, and their feed positions."""
    request_and_print("GET", server, "/members")


@app.command
def workers(*, server: Server) -> None:
    """Show the control plane's list of workers, with the age of each worker's last heartbeat."""
    request_and_print("GET", server, "/workers")


@loans.command(name="show")
def show_loans(*, server: Server) -> None:
    """Show the loans: worker, borrower, state and epoch of each."""
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
    """Lend a worker once every edge has released it; refused if live requests need the worker.

    Parameters
    ----------
    worker
        The identity of the worker.
    server
        A control node's HTTP address, IP:PORT.
    borrower
        The name of the borrower.
    weights
        The weights that the worker must have when it is returned; any if empty.
    lease_ms
        The duration of the loan in ms, after which the worker is recalled.
    recall_ms
        The time in ms that the borrower has to return the worker after a recall.
    """
    request_and_print(
        "PUT",
        server,
        f"/loans/{worker}",
        {"borrower": borrower, "weights": weights, "lease_ms": lease_ms, "recall_ms": recall_ms},
    )


@loans.command
def recall(worker: str, *, server: Server, reason: str = "an operator wants it back") -> None:
    """Recall a lent worker; if it has not been handed over yet, it serves again at once."""
    request_and_print("POST", server, f"/loans/{worker}/recalled", {"reason": reason})


@app.command
def retire(identity: str, *, server: Server, undo: bool = False) -> None:
    """Retire a store or control node, given by identity or node name.

    It can be stopped once a spare has replaced it.
    """
    request_and_print(
        "POST",
        server,
        "/retired",
        {"identity": identity, "undo": undo, "change_id": secrets.token_hex(8)},
    )


@app.command
def forget(*links: str, server: Server) -> None:
    """Remove permanently lost edges or stores, given by link address, from the serving set."""
    request_and_print("POST", server, "/forgotten", {"links": list(links)})


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
