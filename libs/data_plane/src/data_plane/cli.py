"""The data plane's command line: serve, and a client's commands.

Responses go to standard output as JSON, refusals to standard error with exit code 1, wrong
settings with exit code 2.
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
from data_plane.replay import compare, play
from data_plane.store_process import StoreProcess

__all__ = ["main", "request_and_print", "serve_flags"]

app = App(
    name="vaneledge-data",
    help="vaneledge's data plane: edges, stores and a client's commands.",
)
job = App(name="lot", help="Hand in, follow, read and end lots.")
rollout = App(name="rollout", help="Hand in, follow, read and end training rollouts.")
app.command(job)
app.command(rollout)

_TIMEOUT_S = 60

Server = Annotated[str, Parameter(name="--server", help="an edge's HTTP address, IP:PORT")]


def serve_flags(
    link: str | None,
    http: str | None,
    zone: str | None,
    seeds: list[str] | None,
    data_folder: str | None,
    control_count: int | None,
    log_level: str | None,
) -> dict[str, Any]:
    """Return the flags of serve under the names of their settings; None is a flag not given."""
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
    role: edge or store.
    settings: a TOML file; flags win over it, and SIGHUP reads it again.
    link: address for the fleet's own messages, IP:PORT.
    http: address for clients, workers and operators, IP:PORT.
    zone: the zone this machine is in.
    seed: link address of another process; up to three times.
    data_folder: where files live.
    control_count: how many control machines found the fleet.
    log_level: DEBUG, INFO, WARNING or ERROR.
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
    """Make one request of an edge and print the response; raises SystemExit(1) for a refusal."""
    try:
        exit_code = asyncio.run(_request(method, f"http://{server}{address}", body, headers))
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        sys.stderr.write(f"{server}: {type(error).__name__}: {error}\n")
        exit_code = 1
    if exit_code:
        raise SystemExit(exit_code)


def read_json(path: str) -> Any:
    """Return the JSON value of a file, or of standard input for "-"; raises SystemExit(2)."""
    try:
        return json.loads(sys.stdin.read() if path == "-" else Path(path).read_text())
    except (OSError, ValueError) as error:
        sys.stderr.write(f"{path}: {error}\n")
        raise SystemExit(2) from error


@app.command
def complete(
    prompt: str, *, server: Server, profile: str, stream: bool = False, key: str = ""
) -> None:
    """Ask for one live completion.

    Parameters
    ----------
    prompt: the prompt's text.
    profile: the profile that names the path.
    stream: show the answer's events as they come.
    key: an Idempotency-Key, for paths that are not safe to repeat.
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
    """Play recorded days against a fleet and compare outcomes and times.

    Exit code 1: some differ; 2: a bad recording.

    Parameters
    ----------
    files: recordings, as edges with the setting record_folder write them.
    server: an edge's HTTP address; may be given several times.
    pace: 2 plays a day in half the time.
    seed: names the run; keys and lot ids carry it, so each run needs its own.
    check: only look whether the recordings are whole.
    """
    calls: list[dict[str, Any]] = []
    problems = [] if files and pace > 0 else ["wanted: files, and a pace above nought"]
    for path in files:
        recording = load_recording(path)
        calls += recording.calls
        problems += recording.problems
    for problem in problems:
        sys.stderr.write(problem + "\n")
    if problems:
        raise SystemExit(2)
    if check or not calls:
        sys.stdout.write(f"{len(calls)} calls, all whole\n")
        return
    report, differing = compare(asyncio.run(play(calls, server, pace, seed)))
    sys.stdout.write(report + "\n")
    if differing:
        raise SystemExit(1)


@job.command(name="hand-in")
def submit_job(job_id: str, file: str, *, server: Server) -> None:
    """Hand in a lot from a JSON file with path, items and due_ms; - reads standard input."""
    request_and_print("PUT", server, f"/lots/{job_id}", read_json(file))


@job.command(name="show")
def show_job(job_id: str, *, server: Server) -> None:
    """Show how far a lot is."""
    request_and_print("GET", server, f"/lots/{job_id}")


@job.command(name="results")
def list_results(job_id: str, *, server: Server, start: int = 0) -> None:
    """List a lot's results from a place on."""
    request_and_print("GET", server, f"/lots/{job_id}/results?from={start}")


@job.command(name="end")
def cancel_job(job_id: str, *, server: Server) -> None:
    """End a lot: nothing of it runs any more within about three seconds."""
    request_and_print("DELETE", server, f"/lots/{job_id}")


@rollout.command(name="hand-in")
def submit_rollout(rollout_id: str, file: str, *, server: Server) -> None:
    """Hand in a rollout from a JSON file; - reads standard input.

    The file has path, weights, samples, prompts and perhaps due_ms.
    """
    request_and_print("PUT", server, f"/rollouts/{rollout_id}", read_json(file))


@rollout.command(name="show")
def show_rollout(rollout_id: str, *, server: Server) -> None:
    """Show how far a rollout is."""
    request_and_print("GET", server, f"/rollouts/{rollout_id}")


@rollout.command(name="results")
def list_rollout_samples(rollout_id: str, *, server: Server, start: int = 0) -> None:
    """List a rollout's samples from a place on."""
    request_and_print("GET", server, f"/rollouts/{rollout_id}/results?from={start}")


@rollout.command(name="end")
def cancel_rollout(rollout_id: str, *, server: Server) -> None:
    """End a rollout: what is listed stays, nothing more of it runs."""
    request_and_print("DELETE", server, f"/rollouts/{rollout_id}")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
