"""Messages of the grants, exchanged only inside a failure domain."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName


@frozen
class GrantNotice:
    """Announces the newest record of a grant that the sender knows."""

    grant: str
    epoch: int
    vm: VmName
    incarnation: IncarnationId


@frozen
class GrantQuery:
    """A holder that validates its record asks for other holders of ``epoch`` or a later one."""

    grant: str
    epoch: int
    query_id: int


@frozen
class GrantVouch:
    """Confirms a ``GrantQuery``: the sender knows no other holder of the epoch or a later one."""

    grant: str
    query_id: int


@frozen
class GrantHandover:
    """A holder that shuts down hands the grant to the receiver, under the new ``epoch``."""

    grant: str
    epoch: int


GrantMessage = GrantNotice | GrantQuery | GrantVouch | GrantHandover

MESSAGES = (GrantNotice, GrantQuery, GrantVouch, GrantHandover)
