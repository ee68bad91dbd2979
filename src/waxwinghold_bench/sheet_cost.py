"""Measures the CPU time, bytes and memory that a process needs for a sheet.

Run it with ``python -m waxwinghold_bench.sheet_cost``.
"""

import gc
import hashlib
import statistics
import time
import tracemalloc
from dataclasses import replace

import fire

from waxwinghold._audit import AuditTrail
from waxwinghold._clock import Clock
from waxwinghold._messages import SheetPull, encode
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
    SheetReplicator,
    SheetStore,
    Target,
    VersionShare,
    apply_delta,
    check_sheet,
    index_sheet,
    make_delta,
    read_sheet,
    sheet_digest,
    write_sheet,
)

MODELS_COUNT = 8
DATA_CENTRES_COUNT = 15
RANKS_COUNT = 64
RANKS_PER_TARGET_COUNT = 4
TARGETS_PER_GROUP_COUNT = RANKS_COUNT // RANKS_PER_TARGET_COUNT
Z85_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+="
KEY_LENGTH = 40
NS_PER_MS = 1_000_000


def make_sheet(*, version=1, customers_count=2500, targets_count=1400):
    """Return a valid sheet of complete groups of 64 ranks with 4 ranks per target.

    Args:
        version: Version of the sheet.
        customers_count: Number of customers.
        targets_count: Number of targets, rounded down to complete groups.
    """
    groups_count = targets_count // TARGETS_PER_GROUP_COUNT
    models_count = min(MODELS_COUNT, groups_count)
    models = tuple(_model(number) for number in range(models_count))
    services = tuple(_service(model.name) for model in models)
    names = [service.name for service in services]
    groups = tuple(
        Group(
            name=f"group-{number}",
            service=names[number % models_count],
            ranks_count=RANKS_COUNT,
        )
        for number in range(groups_count)
    )
    rounded_targets_count = groups_count * TARGETS_PER_GROUP_COUNT
    return Sheet(
        version=version,
        issued_by="planner",
        services=services,
        models=models,
        groups=groups,
        targets=tuple(
            _target(number, groups) for number in range(rounded_targets_count)
        ),
        customers=tuple(_customer(n, names) for n in range(customers_count)),
    )


def _model(number):
    version = ModelVersion(version="v1", weights_bytes=8 << 30, adapters=("base",))
    return Model(
        name=f"model-{number}",
        versions=(version, replace(version, version="v2")),
        experts_count=64,
        layers_count=32,
        expert_bytes=24 << 20,
    )


def _service(model):
    return Service(
        name=f"{model}-service",
        kind=Kind.MODEL,
        model=model,
        calls=(
            Call(name="ask", repeat=Repeat.IDEMPOTENT, streamed=True, priority=0),
            Call(name="notes", repeat=Repeat.IDEMPOTENT, priority=2),
        ),
        versions=(VersionShare(version="v1", share_percent=100),),
    )


def _target(number, groups):
    group = groups[number // TARGETS_PER_GROUP_COUNT]
    first = number % TARGETS_PER_GROUP_COUNT * RANKS_PER_TARGET_COUNT
    data_centre_index = number // TARGETS_PER_GROUP_COUNT % DATA_CENTRES_COUNT
    return Target(
        name=f"target-{number}",
        service=group.service,
        data_centre=f"region-{data_centre_index % 6}-{data_centre_index}",
        version="v1",
        agent_address=(
            f"tcp://10.{data_centre_index}.{number // 250}.{number % 250 + 1}:7400"
        ),
        agent_public_key=_key(number),
        group=group.name,
        ranks=tuple(range(first, first + RANKS_PER_TARGET_COUNT)),
        adapters=("base",),
        checks_orders=number % 3 > 0,
        slots_count=16,
    )


def _key(number):
    digest = hashlib.sha512(f"key {number}".encode()).digest()
    return "".join(Z85_DIGITS[byte % len(Z85_DIGITS)] for byte in digest[:KEY_LENGTH])


def _customer(number, services):
    return Customer(
        name=f"customer-{number}",
        token_sha256=hashlib.sha256(f"token {number}".encode()).hexdigest(),
        services=(
            services[number % len(services)],
            services[(number + 1) % len(services)],
        )[: min(2, len(services))],
        share=1.0 + number % 4,
    )


def with_changed_shares(sheet, *, rows_count):
    """Return the next version of ``sheet`` with changed shares.

    Args:
        sheet: The sheet.
        rows_count: Number of customers whose share changes.
    """
    customers = tuple(
        replace(row, share=row.share + 0.5) if number < rows_count else row
        for number, row in enumerate(sheet.customers)
    )
    return replace(sheet, version=sheet.version + 1, customers=customers)


def median_ms(function, *, runs_count):
    """Return the median CPU time of ``function`` in milliseconds."""
    times = []
    for _ in range(runs_count):
        start_ns = time.process_time_ns()
        function()
        times.append((time.process_time_ns() - start_ns) / NS_PER_MS)
    return statistics.median(times)


def make_store(sheet):
    """Return a store that contains ``sheet``."""
    clock = Clock()
    audit = AuditTrail(clock=clock, limit_count=1000, process="bench")
    store = SheetStore(clock=clock, audit=audit)
    store.offer(sheet, "bench")
    return store


def _times(sheet, runs_count):
    """Yield the name and the CPU time of each operation on a sheet."""
    document = write_sheet(sheet)
    new = with_changed_shares(sheet, rows_count=1)
    new_document = write_sheet(new)
    digest = sheet_digest(new)
    delta = make_delta(sheet, new)
    operations = {
        "read JSON": lambda: read_sheet(document, with_comments=False),
        "check the rules": lambda: check_sheet(sheet),
        "digest": lambda: sheet_digest(sheet),
        "index": lambda: index_sheet(sheet),
        "make a delta of 1 row": lambda: make_delta(sheet, new),
        "apply a delta of 1 row": lambda: apply_delta(sheet, delta, digest=digest),
    }
    for name, function in operations.items():
        yield name, median_ms(function, runs_count=runs_count)
    stores = iter([make_store(sheet) for _ in range(runs_count)])
    full_ms = median_ms(
        lambda: next(stores).offer_document(new_document, "bench"),
        runs_count=runs_count,
    )
    yield "accept a changed sheet from the platform", full_ms
    receivers = iter([_make_store_and_replicator(sheet) for _ in range(runs_count)])
    sender = _make_store_and_replicator(sheet)
    sender[0].offer(new, "bench")
    answer = sender[1].answer(
        SheetPull(have_version=sheet.version, have_digest=sheet_digest(sheet))
    )
    delta_ms = median_ms(
        lambda: next(receivers)[1].apply(answer, "peer"), runs_count=runs_count
    )
    yield "accept a changed sheet from a peer, as a delta", delta_ms


def _make_store_and_replicator(sheet):
    store = make_store(sheet)
    return store, SheetReplicator(store=store, clock=Clock())


def _sizes(sheet):
    """Yield the name and the size in bytes of each form of a sheet."""
    store, replicator = _make_store_and_replicator(sheet)
    yield "full sheet as JSON", len(write_sheet(sheet))
    full = replicator.answer(SheetPull(have_version=0, have_digest=""))
    yield "full sheet between processes", len(encode(full))
    for rows_count in (1, 10, 100, 1000):
        rows_count = min(rows_count, len(sheet.customers))
        changed_sheet = with_changed_shares(sheet, rows_count=rows_count)
        yield f"delta of {rows_count} rows", len(make_delta(sheet, changed_sheet))


def _memory(sheet):
    """Yield the memory in bytes of stores, measured with ``tracemalloc``."""
    documents = []
    for _ in range(16):
        documents.append(write_sheet(sheet))
        sheet = with_changed_shares(sheet, rows_count=1)
    gc.collect()
    tracemalloc.start()
    store = make_store(read_sheet(documents[0], with_comments=False))
    yield "store of 1 version", tracemalloc.get_traced_memory()[0]
    for document in documents[1:]:
        store.offer_document(document, "bench")
    gc.collect()
    yield "store of 16 versions, 1-row deltas", tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()


def main(*, customers_count=2500, targets_count=1400, runs_count=9):
    """Print the costs of one sheet.

    Args:
        customers_count: Number of customers in the sheet.
        targets_count: Number of targets, rounded down to complete groups.
        runs_count: Number of runs for each median.
    """
    sheet = make_sheet(customers_count=customers_count, targets_count=targets_count)
    check_sheet(sheet)
    print(f"{len(sheet.customers)} customers, {len(sheet.targets)} targets")
    for name, duration_ms in _times(sheet, runs_count):
        print(f"{duration_ms:10.1f} ms     {name}")
    for name, size_bytes in _sizes(sheet):
        print(f"{size_bytes:10d} bytes  {name}")
    for name, size_bytes in _memory(sheet):
        print(f"{size_bytes:10d} bytes  {name}")


if __name__ == "__main__":
    fire.Fire(main)
