"""Validation of operators' request bodies at a control node, and identifiers of changes."""

import hashlib
import json
from typing import Annotated, Any, ClassVar

from pydantic import BaseModel, ConfigDict, Field
from runtime import MAX_WHOLE_NUMBER

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
    """The base of the bodies of all changes.

    `change_id` is the caller's identifier of the change; if it is missing, the handler generates
    one. `KIND` is the kind of change as it enters the digest in `change_identity`. Its value must
    stay the same in all versions, since a change may be sent again to a node of another version.
    """

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    KIND: ClassVar[str]
    change_id: ChangeId | None = None


class ConfigurationBody(ChangeBody):
    """A whole configuration (a tree of profiles), based on the version that it replaces."""

    KIND: ClassVar[str] = "TreeSent"
    version: int = Field(ge=0, le=MAX_WHOLE_NUMBER)
    tree: dict[str, Any]


class ConfigurationPatchBody(ChangeBody):
    """A merge patch (RFC 7396) of the configuration, based on the version that it replaces."""

    KIND: ClassVar[str] = "TreePatch"
    version: int = Field(ge=0, le=MAX_WHOLE_NUMBER)
    patch: dict[str, Any]


class RetirementBody(ChangeBody):
    """A control node or store to retire, or with `undo` to return to service."""

    KIND: ClassVar[str] = "RetirementOrder"
    identity: str = Field(min_length=1, max_length=128)
    undo: bool = False


class ForgetMachinesBody(BaseModel):
    """Link addresses of permanently lost machines, to be removed from the serving set."""

    model_config = ConfigDict(extra="forbid", strict=True, defer_build=True)
    links: list[str] = Field(min_length=1, max_length=256)


def change_identity(change_id: str, contents: ChangeBody) -> str:
    """Return the identifier by which a change is recognized when it is sent again.

    It is a digest of the caller's identifier, the kind of change and the content, since the same
    caller's identifier with two contents means two changes.
    """
    sent = contents.model_dump(exclude={"change_id"})
    text = json.dumps([change_id, contents.KIND, sent], sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
