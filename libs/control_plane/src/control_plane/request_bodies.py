"""The validated bodies of operators' requests to a control node, and the ids of changes."""

import hashlib
import json
from typing import Annotated, Any, ClassVar

from pydantic import BaseModel, ConfigDict, Field

__all__ = [
    "ChangeBody",
    "ConfigurationBody",
    "ConfigurationPatchBody",
    "ForgetMachinesBody",
    "RetirementBody",
    "change_identity",
]

ChangeId = Annotated[str, Field(min_length=1, max_length=128)]
_DIGEST_BYTES = 16


class ChangeBody(BaseModel):
    """What the bodies of all changes have: the caller's identifier, chosen here if it is missing.

    `KIND` is the name of the kind of change in its digest. It must not change, since a change may
    be sent again to a node of another version.
    """

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    KIND: ClassVar[str]
    change_id: ChangeId | None = None


class ConfigurationBody(ChangeBody):
    """A whole configuration (a tree of profiles), based on the version that it replaces."""

    KIND: ClassVar[str] = "TreeSent"
    version: int = Field(ge=0)
    tree: dict[str, Any]


class ConfigurationPatchBody(ChangeBody):
    """A merge patch (RFC 7386) of the configuration, based on the version that it replaces."""

    KIND: ClassVar[str] = "TreePatch"
    version: int = Field(ge=0)
    patch: dict[str, Any]


class RetirementBody(ChangeBody):
    """A machine with a disk that is to be retired, or returned to service with `undo`."""

    KIND: ClassVar[str] = "RetirementOrder"
    identity: str = Field(min_length=1, max_length=128)
    undo: bool = False


class ForgetMachinesBody(BaseModel):
    """Link addresses of machines that are lost for good and are no longer to be counted."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    links: list[str] = Field(min_length=1, max_length=256)


def change_identity(change_id: str, contents: ChangeBody) -> str:
    """Return the identifier by which a change is recognized when it is sent again.

    It covers the caller's identifier and all content, since one identifier used for two contents
    names two changes.
    """
    sent = contents.model_dump(exclude={"change_id"})
    text = json.dumps([change_id, contents.KIND, sent], sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
