"""Typed messages between the processes of waxwinghold, and their codec."""

import msgspec

from .._errors import WaxwingError
from ._base import Message
from .links import Heartbeat, Hello, Leaving, Report
from .maps import (
    DemandQuery,
    DemandReply,
    MapBeat,
    MapBeatReply,
    MapClaim,
    MapDenial,
    MapGrant,
    MapJoin,
    MapJoinReply,
    MapOrder,
    MapOrderDone,
)
from .operators import (
    AuditQuery,
    AuditReply,
    DrainOrder,
    OrderReply,
    StatusQuery,
    StatusReply,
)
from .requests import (
    Answer,
    Cancel,
    Chunk,
    Detach,
    End,
    LostRequestsNotice,
    Probe,
    ProbeReply,
    Refused,
    Resume,
    Started,
    Submit,
    SuspectNotice,
)
from .sheets import SheetDelta, SheetFull, SheetPull

__all__ = [
    "Answer",
    "AuditQuery",
    "AuditReply",
    "Cancel",
    "Chunk",
    "DemandQuery",
    "DemandReply",
    "Detach",
    "DrainOrder",
    "End",
    "FRAME_LIMIT_BYTES",
    "Heartbeat",
    "Hello",
    "Leaving",
    "LostRequestsNotice",
    "MalformedFrameError",
    "Message",
    "MapBeat",
    "MapBeatReply",
    "MapClaim",
    "MapDenial",
    "MapGrant",
    "MapJoin",
    "MapJoinReply",
    "MapOrder",
    "MapOrderDone",
    "OrderReply",
    "Probe",
    "ProbeReply",
    "Refused",
    "Report",
    "Resume",
    "SheetDelta",
    "SheetFull",
    "SheetPull",
    "Started",
    "StatusQuery",
    "StatusReply",
    "Submit",
    "SuspectNotice",
    "decode",
    "encode",
]

FRAME_LIMIT_BYTES = 4 * 1024 * 1024

_AnyMessage = (
    Answer
    | AuditQuery
    | AuditReply
    | Cancel
    | Chunk
    | DemandQuery
    | DemandReply
    | Detach
    | DrainOrder
    | End
    | Heartbeat
    | Hello
    | Leaving
    | LostRequestsNotice
    | MapBeat
    | MapBeatReply
    | MapClaim
    | MapDenial
    | MapGrant
    | MapJoin
    | MapJoinReply
    | MapOrder
    | MapOrderDone
    | OrderReply
    | Probe
    | ProbeReply
    | Refused
    | Resume
    | SheetDelta
    | SheetFull
    | SheetPull
    | Started
    | StatusQuery
    | StatusReply
    | Submit
    | SuspectNotice
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_AnyMessage)


class MalformedFrameError(WaxwingError):
    """A frame that cannot be decoded as a message."""

    code = "malformed_frame"


def encode(message):
    """Encode ``message`` as the bytes of one frame."""
    return _encoder.encode(message)


def decode(frame):
    """Decode the message in ``frame``.

    Raises:
        MalformedFrameError: The frame is larger than ``FRAME_LIMIT_BYTES``,
            malformed, or of an unknown type.
    """
    if len(frame) > FRAME_LIMIT_BYTES:
        raise MalformedFrameError(f"frame of {len(frame)} bytes is too large")
    try:
        return _decoder.decode(frame)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedFrameError(f"frame cannot be decoded: {error}") from error
