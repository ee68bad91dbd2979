"""Builders of small valid sheets and stores for tests."""

import hashlib
from dataclasses import replace

from waxwinghold._audit import AuditTrail
from waxwinghold._clock import Clock
from waxwinghold._sheet import (
    Call,
    Customer,
    Group,
    Kind,
    Model,
    ModelVersion,
    Repeat,
    Service,
    Sheet,
    SheetStore,
    Target,
    VersionShare,
)

PUBLIC_KEY = "Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID"


class ManualClock(Clock):
    """A clock that advances only when a test calls ``advance_ms``."""

    def __init__(self):
        super().__init__(read_ns=lambda: self.elapsed_ns, wall_start_ms=1000)

    elapsed_ns = 0

    def advance_ms(self, duration_ms):
        """Advance the clock by ``duration_ms``."""
        object.__setattr__(
            self, "elapsed_ns", self.elapsed_ns + duration_ms * 1_000_000
        )


def make_target(number, **changes):
    """Return a valid target of service ``fitting`` with one rank."""
    target = Target(
        name=f"fitting-{number}",
        service="fitting",
        data_centre="nadi",
        version="v1",
        agent_address=f"tcp://127.0.0.1:{20000 + number}",
        agent_public_key=PUBLIC_KEY,
        group="fitting-a",
        ranks=(number,),
        adapters=("sizing",),
    )
    return replace(target, **changes)


def make_customer(name, **changes):
    """Return a valid customer of service ``fitting``."""
    token = hashlib.sha256(name.encode()).hexdigest()
    customer = Customer(name=name, token_sha256=token, services=("fitting",))
    return replace(customer, **changes)


def make_sheet(version=1, **changes):
    """Return a valid sheet: one model service on two ranks, one plain service."""
    model = Model(
        name="sizer",
        versions=(
            ModelVersion(version="v1", weights_bytes=1000, adapters=("sizing",)),
            ModelVersion(version="v2", weights_bytes=1000),
        ),
        experts_count=4,
        layers_count=1,
        expert_bytes=10,
    )
    fitting = Service(
        name="fitting",
        kind=Kind.MODEL,
        model="sizer",
        calls=(Call(name="ask", repeat=Repeat.IDEMPOTENT, streamed=True),),
        versions=(VersionShare(version="v1", share_percent=100),),
    )
    booking = Service(
        name="booking",
        kind=Kind.PLAIN,
        calls=(Call(name="hold", repeat=Repeat.ONCE),),
        versions=(VersionShare(version="r1", share_percent=100),),
    )
    booking_target = make_target(
        9,
        name="booking-1",
        service="booking",
        version="r1",
        group="",
        ranks=(),
        adapters=(),
    )
    sheet = Sheet(
        version=version,
        issued_by="planner",
        services=(fitting, booking),
        models=(model,),
        groups=(Group(name="fitting-a", service="fitting", ranks_count=2),),
        targets=(make_target(0), make_target(1), booking_target),
        customers=(make_customer("lautoka-sports"), make_customer("tour-desk")),
    )
    return replace(sheet, **changes)


def make_store(clock=None):
    """Return an empty ``SheetStore`` and its ``AuditTrail``."""
    clock = clock or ManualClock()
    audit = AuditTrail(clock=clock, limit_count=100, process="entry-1")
    return SheetStore(clock=clock, audit=audit), audit
