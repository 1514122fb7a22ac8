"""A digest of a simulated run: of all messages sent between hosts and all writes to disks.

If two versions of the code give the same digests for the same seeds, they send and write the same
bytes at the same virtual times in these runs. A change that only renames or moves code has to keep
the digests.
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
    """Hashes the messages and writes of a run's hosts in order, with their virtual times.

    `count` is the number of messages and writes that were hashed.
    """

    __slots__ = ("_hash", "count")

    def __init__(self) -> None:
        self._hash = hashlib.sha256()
        self.count = 0

    def add(self, time_ms: float, label: str, data: bytes) -> None:
        """Hash a message or a write; `label` says which, with addresses or the file and offset."""
        self._hash.update(f"{time_ms:.6f} {label} ".encode())
        self._hash.update(data)
        self.count += 1

    def text(self) -> str:
        """Return the first 16 hexadecimal digits of the digest."""
        return self._hash.hexdigest()[:_DIGEST_CHARACTERS]

    @contextmanager
    def recording(self) -> Iterator[None]:
        """Hash all messages and writes on simulated networks and disks within this context.

        It patches `Network` and `SimDisk`, and so covers all runs of the process.
        """
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
    """Replace a method of a class within this context."""
    original = getattr(owner, name)
    setattr(owner, name, method)
    try:
        yield
    finally:
        setattr(owner, name, original)


def digest_of_run(shape: str, seed: int, faults: int) -> str:
    """Return a run's digest, the number of messages and writes, and the rules that it broke."""
    digest = RunDigest()
    with digest.recording():
        breaches, _ = run_seed(seed, faults=faults, shape=shape)
    broken = sorted(rule for rule, rows in breaches.items() if rows)
    return f"{digest.text()} {digest.count} {broken}"
