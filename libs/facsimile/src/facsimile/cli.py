"""The test tools' command line: a stand-in worker, and a fleet on one machine."""

import asyncio
import signal
from typing import Annotated

from cyclopts import App, Parameter

from facsimile.worker import StandInWorker

__all__ = ["main"]

app = App(name="facsimile", help="Stand-ins, the simulator and the test fleet of vaneledge.")


async def _work(worker: StandInWorker) -> None:
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await worker.start()
    await stopping.wait()
    await worker.leave()
    await worker.stop()


@app.command
def worker(*, identity: str, http: str, edge: Annotated[list[str], Parameter(negative=())], zone: str = "a",
           label: Annotated[list[str] | None, Parameter(negative=())] = None, slots: int = 8, tokenMs: float = 2.0,
           tokens: int = 12, prefillMs: float = 20.0, cachePrefixes: int = 32) -> None:
    """Run a stand-in model worker until SIGTERM, on which it leaves.

    Parameters
    ----------
    identity: its name, which profiles may allow.
    http: its own address, IP:PORT.
    edge: an edge's HTTP address to beat to; may be given several times.
    zone: the zone it is in.
    label: a label that profiles may allow; may be given several times.
    slots: how many completions run at a time.
    tokenMs: time for one token.
    tokens: how many tokens an answer has unless the call says otherwise.
    prefillMs: what a prompt whose prefix is not cached costs.
    cachePrefixes: how many prefixes the cache holds.
    """
    asyncio.run(_work(StandInWorker(identity, http, edge, zone, label, slots, tokenMs, tokens, prefillMs,
                                    cachePrefixes)))


def main() -> None:
    app()


if __name__ == "__main__":
    main()
