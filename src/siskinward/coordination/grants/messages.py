"""Messages of the grants, exchanged only inside a failure domain."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName


@frozen
class GrantNotice:
    """The newest record of a grant that the sender knows."""

    grant: str
    epoch: int
    vm: VmName
    incarnation: IncarnationId


@frozen
class GrantQuery:
    """A holder that was stalled asks whether anybody knows a newer record than ``epoch``."""

    grant: str
    epoch: int
    query_id: int


@frozen
class GrantVouch:
    """Answer to ``GrantQuery``: the sender knows of no other holder since ``epoch``."""

    grant: str
    query_id: int


@frozen
class GrantHandover:
    """A holder that stops hands the grant to the receiver, with a new epoch."""

    grant: str
    epoch: int


GrantMessage = GrantNotice | GrantQuery | GrantVouch | GrantHandover

MESSAGES = (GrantNotice, GrantQuery, GrantVouch, GrantHandover)
