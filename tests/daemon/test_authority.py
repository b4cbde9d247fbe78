from __future__ import annotations

from siskinward.coordination.admission import AdmissionSettings
from siskinward.coordination.admission import SlotLedger
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.membership import Member
from siskinward.coordination.membership import VmAddress
from siskinward.coordination.ownership.messages import AssignerNotice
from siskinward.daemon.authority import Authority
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName


def member(number: int, *, leaving: bool) -> Member:
    name = VmName(f"vm-{number}")
    identity = VmIdentity(name, DomainName("a"), IncarnationId(str(number)))
    return Member(identity, VmAddress("127.0.0.1", 20011 + number, 20001 + number), leaving)


def test_leaving_vm_is_notified_of_a_new_assigner() -> None:
    own, other = member(0, leaving=False), member(1, leaving=True)
    authority = Authority(own.identity, SlotLedger(AdmissionSettings()), 0.0)
    authority.ownership.on_grant(may_use=True, epoch=1, now_s=0.0)
    effects = authority.on_members((own, other), 0.0)
    notified = [
        effect.to
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, AssignerNotice)
    ]
    assert notified == [other.identity.vm]
