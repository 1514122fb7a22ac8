"""The metadata of an acceptor on disk: its identity, its bootstrap vote and its voter list.

A disk that has logs but no metadata has lost part of this node's votes, so it is treated as
damaged.
"""

from collections.abc import Callable

from messaging import decode_as, encode
from storage import DamageError, Disk, frame, scan_frames

from control_store.messages import AcceptorMetadata
from control_store.register_store import LOG_PREFIX, WriteCallback
from control_store.voter_list import VoterList

__all__ = ["MetadataFile"]

METADATA_FILE = "meta"


class MetadataFile:
    """The metadata of an acceptor, stored in one file that is replaced atomically.

    Raises DamageError on opening if the file is damaged, or missing beside existing logs.

    Parameters
    ----------
    new_token
        Returns the random part of a new identity, used if the disk has none.
    """

    __slots__ = ("_addresses", "_disk", "_number", "_parsed_body", "metadata")

    def __init__(self, disk: Disk, new_token: Callable[[], str]) -> None:
        self._disk = disk
        self._parsed_body = ""
        self._number = 0
        self._addresses: dict[str, str] = {}
        self.metadata = AcceptorMetadata(
            identity=f"control-{new_token()}", bootstrap_vote="", list_body=""
        )
        names = disk.names()
        if METADATA_FILE in names:
            self.metadata = self._read()
        elif any(name.startswith(LOG_PREFIX) for name in names):
            raise DamageError(METADATA_FILE, 0)

    def _read(self) -> AcceptorMetadata:
        frames, _, _ = scan_frames(self._disk.read(METADATA_FILE))
        if not frames:
            raise DamageError(METADATA_FILE, 0)
        return decode_as(AcceptorMetadata, frames[0][1])

    @property
    def voters(self) -> dict[str, str]:
        """Link address of each current voter, by identity; empty before the first list."""
        self._parse_list()
        return self._addresses

    @property
    def list_number(self) -> int:
        """The number of the current voter list; 0 before the first."""
        self._parse_list()
        return self._number

    def _parse_list(self) -> None:
        if self._parsed_body != self.metadata.list_body:
            voter_list = VoterList.from_body(self.metadata.list_body)
            self._parsed_body = self.metadata.list_body
            self._number, self._addresses = voter_list.number, voter_list.addresses()

    def adopt_list(self, body: str, done: WriteCallback) -> None:
        """Adopt a voter list if it is newer than the current one.

        It takes effect once it is on disk. `done` gets whether the write succeeded, or True at once
        for a list that is not newer.
        """
        if VoterList.from_body(body).number <= self.list_number:
            done(True)
            return
        self.save(
            AcceptorMetadata(
                identity=self.metadata.identity,
                bootstrap_vote=self.metadata.bootstrap_vote,
                list_body=body,
            ),
            done,
        )

    def save(self, metadata: AcceptorMetadata, done: WriteCallback) -> None:
        """Write metadata to disk, then adopt it unless a newer list has been adopted meanwhile.

        `done` gets whether the write succeeded.
        """

        def replaced(ok: bool) -> None:
            if ok and self._is_current(metadata):
                self.metadata = metadata
            done(ok)

        self._disk.replace(METADATA_FILE, frame(encode(metadata)), replaced)

    def _is_current(self, metadata: AcceptorMetadata) -> bool:
        if not self.metadata.list_body:
            return True
        return (
            metadata.list_body != ""
            and VoterList.from_body(metadata.list_body).number >= self.list_number
        )
