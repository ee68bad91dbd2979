"""The sheet (the published configuration): model, validation and distribution."""

from .checking import check_sheet, problems
from .delta import DeltaError, apply_delta, make_delta
from .hosts import Host, HostList, HostState, HostsWatch
from .index import SheetIndex, index_sheet
from .model import (
    Call,
    Customer,
    Group,
    Kind,
    Model,
    ModelVersion,
    PlacementWeights,
    Repeat,
    Service,
    Sheet,
    Target,
    TargetState,
    VersionShare,
)
from .platform import PlatformError
from .readers import is_reader
from .reading import read_sheet, read_sheet_file, sheet_digest, write_sheet
from .replication import PeerPull, SheetReplicator
from .store import SheetStore
from .watching import PlatformWatch

__all__ = [
    "Call",
    "Customer",
    "DeltaError",
    "Group",
    "Host",
    "HostList",
    "HostState",
    "HostsWatch",
    "Kind",
    "Model",
    "ModelVersion",
    "PeerPull",
    "PlacementWeights",
    "PlatformError",
    "PlatformWatch",
    "Repeat",
    "Service",
    "Sheet",
    "SheetIndex",
    "SheetReplicator",
    "SheetStore",
    "Target",
    "TargetState",
    "VersionShare",
    "apply_delta",
    "check_sheet",
    "index_sheet",
    "is_reader",
    "make_delta",
    "problems",
    "read_sheet",
    "read_sheet_file",
    "sheet_digest",
    "write_sheet",
]
