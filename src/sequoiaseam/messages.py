"""Messages between processes, and the codecs that serialize them."""

from sequoiaseam._codec import Codec
from sequoiaseam._commands import (
    COMMAND_TYPES,
    AddKey,
    Command,
    CrashReported,
    EditTables,
    Member,
    MembersChanged,
    MemberState,
    SetEvacuation,
    WithdrawKey,
    WitnessesAssigned,
    WitnessGroup,
)
from sequoiaseam._control_messages import create_control_codec
from sequoiaseam._feed import FeedDelta, FeedSnapshot, Ping, Pong
from sequoiaseam._frames import (
    AnswerFrame,
    CallFrame,
    CancelFrame,
    RefusalFrame,
    create_frame_codec,
)
from sequoiaseam._members import MemberGone, MemberReport
from sequoiaseam._quota_messages import (
    QuotaAsk,
    QuotaGrant,
    QuotaSettle,
)
from sequoiaseam._witness import (
    Fence,
    Intent,
    OutcomeRecord,
    RecordKey,
    Vote,
)

__all__ = [
    "COMMAND_TYPES",
    "AddKey",
    "AnswerFrame",
    "CallFrame",
    "CancelFrame",
    "Codec",
    "Command",
    "CrashReported",
    "EditTables",
    "FeedDelta",
    "FeedSnapshot",
    "Fence",
    "Intent",
    "Member",
    "MemberGone",
    "MemberReport",
    "MemberState",
    "MembersChanged",
    "OutcomeRecord",
    "Ping",
    "Pong",
    "QuotaAsk",
    "QuotaGrant",
    "QuotaSettle",
    "RecordKey",
    "RefusalFrame",
    "SetEvacuation",
    "Vote",
    "WithdrawKey",
    "WitnessGroup",
    "WitnessesAssigned",
    "create_control_codec",
    "create_frame_codec",
]
