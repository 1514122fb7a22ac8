"""Accession: the durable log after Salius. One holder for an epoch writes its queue file lazily and
lets peers hold each record in memory; recovery gathers what they hold. docs/design.md tells what
was kept of the source and what was changed."""

from accession.holder import Holder, Outcome
from accession.local import LocalLog
from accession.mending import Mending
from accession.messages import (Append, Appended, Fetch, Fetched, Install, LogMeta, Record, Start, Started,
                                StoredEntry)
from accession.places import spread
from accession.recovery import Recovery, union
from accession.store import StoreLog

__all__ = ["Append", "Appended", "Fetch", "Fetched", "Holder", "Install", "LocalLog", "LogMeta", "Mending", "Outcome",
           "Record", "Recovery", "Start", "Started", "StoreLog", "StoredEntry", "spread", "union"]
