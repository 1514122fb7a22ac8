"""The data plane's command line: run a node, or make a client's requests.

The body of a successful response goes to standard output. Refusals and connection errors go to
standard error with exit code 1; invalid settings and unreadable input files give exit code 2.
"""

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated, Any, Literal

import aiohttp
from cyclopts import App, Parameter
from runtime import load_settings

from data_plane.edge_process import EdgeProcess
from data_plane.process import run_process, settings_or_exit
from data_plane.recording_file import load_recording
from data_plane.replay import compare_outcomes, replay_calls
from data_plane.store_process import StoreProcess

__all__ = ["main", "request_and_print", "serve_flags"]

app = App(
    name="vaneledge-data",
    help="vaneledge's data plane: run an edge or a store, or make requests as a client.",
)
job = App(name="lot", help="Submit, follow, read and cancel batch jobs (lots).")
rollout = App(name="rollout", help="Submit, follow, read and cancel training rollouts.")
app.command(job)
app.command(rollout)

_TIMEOUT_S = 60

Server = Annotated[str, Parameter(name="--server", help="An edge's HTTP address, IP:PORT")]


def serve_flags(
    link: str | None,
    http: str | None,
    zone: str | None,
    seeds: list[str] | None,
    data_folder: str | None,
    control_count: int | None,
    log_level: str | None,
) -> dict[str, Any]:
    """Return the flags of `serve` by the names of their settings; None for a flag not given."""
    return {
        "link": link,
        "http": http,
        "zone": zone,
        "seeds": seeds,
        "data_folder": data_folder,
        "control_count": control_count,
        "log_level": log_level,
    }


@app.command
def serve(
    *,
    role: Literal["edge", "store"],
    settings: str | None = None,
    link: str | None = None,
    http: str | None = None,
    zone: str | None = None,
    seed: Annotated[list[str] | None, Parameter(negative=())] = None,
    data_folder: str | None = None,
    control_count: int | None = None,
    log_level: str | None = None,
) -> None:
    """Run an edge or a store until SIGTERM.

    Parameters
    ----------
    role
        The role of the node, edge or store.
    settings
        A TOML file; flags take precedence over it, and SIGHUP rereads it.
    link
        Address for messages between the fleet's nodes, IP:PORT.
    http
        Address for clients, workers and operators, IP:PORT.
    zone
        The zone of this machine.
    seed
        Link address of another node to join through; may be given up to three times.
    data_folder
        Folder of the node's files.
    control_count
        How many control nodes bootstrap the fleet.
    log_level
        DEBUG, INFO, WARNING or ERROR.
    """
    flags = {
        **serve_flags(link, http, zone, seed, data_folder, control_count, log_level),
        "role": role,
    }
    checked = settings_or_exit(load_settings(settings, flags))
    run_process(EdgeProcess if role == "edge" else StoreProcess, checked, settings, flags)


async def _request(method: str, url: str, body: Any, headers: dict[str, str] | None) -> int:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(method, url, json=body, headers=headers) as response,
    ):
        out = sys.stdout if response.status < 400 else sys.stderr
        async for line in response.content:
            out.write(line.decode(errors="replace"))
            out.flush()
        out.write("\n")
        return 0 if response.status < 400 else 1


def request_and_print(
    method: str, server: str, address: str, body: Any = None, headers: dict[str, str] | None = None
) -> None:
    """Send one request to a server and print the response.

    Raises SystemExit(1) for a response with status 400 or above, and if the request fails.
    """
    try:
        exit_code = asyncio.run(_request(method, f"http://{server}{address}", body, headers))
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        sys.stderr.write(f"{server}: {type(error).__name__}: {error}\n")
        exit_code = 1
    if exit_code:
        raise SystemExit(exit_code)


def read_json(path: str) -> Any:
    """Return the JSON value of a file, or of standard input for "-".

    Raises SystemExit(2), with the error on standard error, if it can't be read or parsed.
    """
    try:
        return json.loads(sys.stdin.read() if path == "-" else Path(path).read_text())
    except (OSError, ValueError) as error:
        sys.stderr.write(f"{path}: {error}\n")
        raise SystemExit(2) from error


@app.command
def complete(
    prompt: str, *, server: Server, profile: str, stream: bool = False, key: str = ""
) -> None:
    """Request one live completion.

    Parameters
    ----------
    prompt
        Text of the prompt.
    profile
        Profile to use, sent as the request's model.
    stream
        Print the events of the response as they arrive.
    key
        Idempotency-Key, for profiles whose requests are not safe to repeat.
    """
    request_and_print(
        "POST",
        server,
        "/v1/completions",
        {"model": profile, "prompt": prompt, "stream": stream},
        {"Idempotency-Key": key} if key else None,
    )


@app.command
def replay(
    *files: Path,
    server: Annotated[list[str], Parameter(negative=())],
    pace: float = 1.0,
    seed: int = 1,
    check: bool = False,
) -> None:
    """Replay recorded calls against a fleet and compare outcomes and durations.

    Exit code 1: some outcomes differ; 2: a recording is damaged or incomplete.

    Parameters
    ----------
    files
        Recordings, written by edges that have the setting record_folder.
    server
        HTTP address of an edge; may be given several times, one is drawn for each call.
    pace
        Replay speed; 2 replays a recording in half its time.
    seed
        Seed of the draws, also a suffix of keys and lot ids; use a new one for each run.
    check
        Only check that the recordings are complete, without making calls.
    """
    calls: list[dict[str, Any]] = []
    problems = [] if files and pace > 0 else ["replay needs at least one file and a pace above 0"]
    for path in files:
        recording = load_recording(path)
        calls += recording.calls
        problems += recording.problems
    for problem in problems:
        sys.stderr.write(problem + "\n")
    if problems:
        raise SystemExit(2)
    if check or not calls:
        sys.stdout.write(f"{len(calls)} calls; the recordings are complete\n")
        return
    report, differing = compare_outcomes(asyncio.run(replay_calls(calls, server, pace, seed)))
    sys.stdout.write(report + "\n")
    if differing:
        raise SystemExit(1)


@job.command(name="hand-in")
def submit_job(job_id: str, file: str, *, server: Server) -> None:
    """Submit a lot from a JSON file with path, items and due_ms; - reads standard input."""
    request_and_print("PUT", server, f"/lots/{job_id}", read_json(file))


@job.command(name="show")
def show_job(job_id: str, *, server: Server) -> None:
    """Show a lot's progress."""
    request_and_print("GET", server, f"/lots/{job_id}")


@job.command(name="results")
def list_results(job_id: str, *, server: Server, start: int = 0) -> None:
    """List a lot's results, from index START on."""
    request_and_print("GET", server, f"/lots/{job_id}/results?from={start}")


@job.command(name="end")
def cancel_job(job_id: str, *, server: Server) -> None:
    """Cancel a lot; its items stop running within about three seconds."""
    request_and_print("DELETE", server, f"/lots/{job_id}")


@rollout.command(name="hand-in")
def submit_rollout(rollout_id: str, file: str, *, server: Server) -> None:
    """Submit a rollout from a JSON file; - reads standard input.

    The file has path and prompts, and optionally weights, samples and due_ms.
    """
    request_and_print("PUT", server, f"/rollouts/{rollout_id}", read_json(file))


@rollout.command(name="show")
def show_rollout(rollout_id: str, *, server: Server) -> None:
    """Show a rollout's progress."""
    request_and_print("GET", server, f"/rollouts/{rollout_id}")


@rollout.command(name="results")
def list_rollout_samples(rollout_id: str, *, server: Server, start: int = 0) -> None:
    """List a rollout's samples, from index START on."""
    request_and_print("GET", server, f"/rollouts/{rollout_id}/results?from={start}")


@rollout.command(name="end")
def cancel_rollout(rollout_id: str, *, server: Server) -> None:
    """Cancel a rollout; samples already listed stay readable, and no more of it runs."""
    request_and_print("DELETE", server, f"/rollouts/{rollout_id}")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
