"""Start-time fair queueing across client accounts, first in first out within an account."""

from __future__ import annotations

from collections import deque

from attrs import define
from attrs import field
from attrs import frozen

from siskinward.state.identifiers import AccountName
from siskinward.state.objects import ServiceClass


@frozen
class Entry:
    """A waiting request."""

    request_id: int
    account: AccountName
    weight: float
    service_class: ServiceClass
    deadline_s: float
    queued_at_s: float


@define
class _Backlog:
    """Waiting requests of one account; ``head_tag`` is the virtual start time of the first one."""

    weight: float
    head_tag: float
    entries: deque[Entry] = field(factory=deque)

    @property
    def tail_tag(self) -> float:
        return self.head_tag + len(self.entries) / self.weight

    @property
    def normalised_length(self) -> float:
        return len(self.entries) / self.weight


class FairQueue:
    """Queue in weighted max-min fair order.

    Each request advances the virtual time of its account by 1/weight; the request with the lowest
    virtual start time is popped first.
    """

    def __init__(self) -> None:
        self._backlogs: dict[AccountName, _Backlog] = {}
        self._idle_tags: dict[AccountName, float] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, entry: Entry) -> None:
        """Append a request to its account's backlog."""
        backlog = self._backlogs.get(entry.account)
        if backlog is None:
            tag = self._start_tag(entry.account)
            backlog = _Backlog(weight=entry.weight, head_tag=tag)
            self._backlogs[entry.account] = backlog
        backlog.entries.append(entry)
        self._length += 1

    def pop(self) -> Entry | None:
        """Remove and return the request with the lowest virtual start time."""
        if not self._backlogs:
            return None
        account = min(self._backlogs, key=lambda name: self._backlogs[name].head_tag)
        backlog = self._backlogs[account]
        self._virtual_time = max(self._virtual_time, backlog.head_tag)
        entry = backlog.entries.popleft()
        backlog.head_tag += 1.0 / backlog.weight
        self._after_removal(account, backlog)
        return entry

    def remove(self, entry: Entry) -> None:
        """Remove a waiting request without charging its account."""
        backlog = self._backlogs[entry.account]
        backlog.entries.remove(entry)
        self._after_removal(entry.account, backlog)

    def refund(self, entry: Entry) -> None:
        """Undo the charge to the account of a request that was popped but will not run."""
        backlog = self._backlogs.get(entry.account)
        if backlog is not None:
            backlog.head_tag -= 1.0 / backlog.weight
        elif entry.account in self._idle_tags:
            self._idle_tags[entry.account] -= 1.0 / entry.weight

    def count_ahead(self, account: AccountName) -> int:
        """Return how many waiting requests would be popped before a new one of ``account``."""
        own = self._backlogs.get(account)
        tag = self._start_tag(account) if own is None else own.tail_tag
        ahead = 0 if own is None else len(own.entries)
        for name, backlog in self._backlogs.items():
            if name == account or backlog.head_tag > tag:
                continue
            due = int((tag - backlog.head_tag) * backlog.weight) + 1
            ahead += min(due, len(backlog.entries))
        return ahead

    def normalised_backlog(self, account: AccountName) -> float:
        """Return the number of waiting requests of ``account`` divided by its weight."""
        backlog = self._backlogs.get(account)
        return 0.0 if backlog is None else backlog.normalised_length

    def newest_of_longest_backlog(self) -> Entry | None:
        """Return the newest request of the account with the largest normalised backlog."""
        if not self._backlogs:
            return None
        longest = max(self._backlogs.values(), key=lambda backlog: backlog.normalised_length)
        return longest.entries[-1]

    def _start_tag(self, account: AccountName) -> float:
        return max(self._virtual_time, self._idle_tags.get(account, 0.0))

    def _after_removal(self, account: AccountName, backlog: _Backlog) -> None:
        self._length -= 1
        if backlog.entries:
            return
        del self._backlogs[account]
        self._idle_tags[account] = backlog.head_tag
        if not self._backlogs:
            self._drop_stale_tags()

    def _drop_stale_tags(self) -> None:
        now = self._virtual_time
        self._idle_tags = {name: tag for name, tag in self._idle_tags.items() if tag > now}
