"""A digest of one simulated run: of every message sent and of every byte written to a disk.

Two versions of the code that give the same digests for the same seeds behave alike in these runs,
byte for byte and at the same virtual times. A change that only renames or moves code keeps them.
"""

import hashlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from messaging import Message, encode

from simulator.disks import SimDisk
from simulator.runs import run_seed
from simulator.virtual import Network

__all__ = ["RunDigest", "digest_of_run"]

_DIGEST_CHARACTERS = 16


class RunDigest:
    """Hashes what the hosts of a run send and write, in order, with the virtual time."""

    __slots__ = ("_hash", "count")

    def __init__(self) -> None:
        self._hash = hashlib.sha256()
        self.count = 0

    def add(self, time_ms: float, what: str, data: bytes) -> None:
        """Add one message or one write."""
        self._hash.update(f"{time_ms:.6f} {what} ".encode())
        self._hash.update(data)
        self.count += 1

    def text(self) -> str:
        """Return the digest in hexadecimal, shortened."""
        return self._hash.hexdigest()[:_DIGEST_CHARACTERS]

    @contextmanager
    def recording(self) -> Iterator[None]:
        """Record all simulated networks and disks of this process meanwhile."""
        send, write, replace = Network.send, SimDisk.write, SimDisk.replace

        def send_and_add(
            network: Network,
            sender: str,
            to: str,
            request_id: int,
            in_reply_to: int,
            message: Message,
        ) -> None:
            numbers = f"{request_id} {in_reply_to}"
            self.add(network.time.now_ms, f"{sender} {to} {numbers}", encode(message))
            send(network, sender, to, request_id, in_reply_to, message)

        def write_and_add(
            disk: SimDisk, name: str, offset: int, data: bytes, urgent: bool = False
        ) -> None:
            self.add(disk.time.now_ms, f"write {name} {offset}", data)
            write(disk, name, offset, data, urgent)

        def replace_and_add(
            disk: SimDisk, name: str, data: bytes, done: Callable[[bool], None]
        ) -> None:
            self.add(disk.time.now_ms, f"replace {name}", data)
            replace(disk, name, data, done)

        with (
            _replaced(Network, "send", send_and_add),
            _replaced(SimDisk, "write", write_and_add),
            _replaced(SimDisk, "replace", replace_and_add),
        ):
            yield


@contextmanager
def _replaced(owner: type, name: str, method: Callable[..., None]) -> Iterator[None]:
    """Replace a method of a class meanwhile."""
    original = getattr(owner, name)
    setattr(owner, name, method)
    try:
        yield
    finally:
        setattr(owner, name, original)


def digest_of_run(shape: str, seed: int, faults: int) -> str:
    """Return the digest of one run, how much it hashed, and the rules that the run broke."""
    digest = RunDigest()
    with digest.recording():
        breaches, _ = run_seed(seed, faults=faults, shape=shape)
    broken = sorted(rule for rule, rows in breaches.items() if rows)
    return f"{digest.text()} {digest.count} {broken}"
