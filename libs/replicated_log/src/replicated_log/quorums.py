"""How far enough stores have come: what the members, and while the list of members changes also the following ones,
agree on. `faults` members of a list besides the holder make a majority with it.
"""

from collections.abc import Callable

from replicated_log.replica import Peer

__all__ = ["Quorums", "confirmed_probe", "flushed_seq", "held"]


class Quorums:
    """The list of members and, while it is being changed, the one that follows it. An append counts only if it is on
    enough stores of both, since either may be in force: the change of the control key may have been decided
    without its answer having come.
    """

    __slots__ = ("_change_seq", "_peers", "following", "members")

    def __init__(self, members: list[str], peers: dict[str, Peer]) -> None:
        self.members = members
        self.following: list[str] | None = None
        self._peers = peers
        self._change_seq = 0

    def peers_of(self, names: list[str]) -> list[Peer]:
        """The stores of a list that the holder sends the log, itself left out."""
        return [self._peers[name] for name in names if name in self._peers]

    def reached(self, faults: int, measure: Callable[[Peer], int]) -> int:
        """The highest value that `faults` stores besides the holder have reached, in every list that counts."""
        return min(_reached(self.peers_of(names), faults, measure) for names in self._lists())

    def settled_seq(self, faults: int, own_flushed_seq: int) -> int:
        """How far f+1 disks have the log, in every list that counts."""
        return min(
            _settled([own_flushed_seq, *map(flushed_seq, self.peers_of(names))], faults)
            for names in self._lists()
        )

    def _lists(self) -> list[list[str]]:
        return [self.members] if self.following is None else [self.members, self.following]

    def roomy_member(self, heard_since_ms: int) -> str | None:
        """A member that has adopted the epoch, has room on its disk and was heard lately."""
        return next(
            (
                peer.identity
                for peer in self.peers_of(self.members)
                if peer.adopted and not peer.full and peer.heard_ms >= heard_since_ms
            ),
            None,
        )

    # -- changing the members ------------------------------------------------------------------

    def begin_change(self, following: list[str], last_seq: int) -> None:
        """What was acknowledged up to `last_seq` may be on stores of the present list alone."""
        self.following = following
        self._change_seq = last_seq

    def may_change(self, faults: int, own_flushed_seq: int) -> bool:
        """Whether f+1 of the following members, the holder among them, have that on disk too."""
        peers = self.peers_of(self.following or [])
        return min(own_flushed_seq, _reached(peers, faults, flushed_seq)) >= self._change_seq

    def end_change(self, made: bool) -> None:
        """The following members are in force, or the ones before them go on."""
        if made and self.following is not None:
            self.members = self.following
        self.following = None


def _settled(copies: list[int], f: int) -> int:
    copies.sort(reverse=True)
    return copies[f] if len(copies) > f else 0


def _reached(peers: list[Peer], faults: int, measure: Callable[[Peer], int]) -> int:
    values = sorted((measure(peer) for peer in peers), reverse=True)
    return values[faults - 1] if len(values) >= faults else 0


def flushed_seq(peer: Peer) -> int:
    """How far a store has the log of this epoch on disk."""
    return peer.flushed_seq if peer.adopted else 0


def held(peer: Peer) -> int:
    """How far a store has the log of this epoch in memory."""
    return peer.last_seq if peer.adopted else 0


def confirmed_probe(peer: Peer) -> int:
    """The last question whether this epoch still stands that a store has answered."""
    return peer.probe
