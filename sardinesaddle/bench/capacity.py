"""Measures memory and processor time per item, and the sizes of messages.

Memory and processor time are slopes over three sizes or more. Memory is what
tracemalloc counts for objects of each kind. Processor time is that of the real decision
classes and codecs, and so differs between machines and runs. Message sizes are exact.
docs/CAPACITY.md computes the needs of the design size from these figures.
"""

import collections.abc
import gc
import itertools
import time
import tracemalloc
import typing

import msgspec

from sardinesaddle import (
    answerbuffer,
    callqueue,
    calls,
    callscheduler,
    configuration,
    errorcodes,
    frames,
    groupwire,
    hashing,
    journal,
    keys,
    leases,
    limits,
    manifest,
    membership,
    router,
    steps,
    subset,
    table,
    wire,
)
from sardinesaddle.bench import report

SIZES: typing.Final = (500, 1000, 2000, 4000)
# Numbers of limit rows, up to one for each of 27 services, 210 accounts and 7 places.
ROW_SIZES: typing.Final = (5_000, 10_000, 20_000, 39_690)
REPEATS: typing.Final = 2000
SECRET: typing.Final = b"a secret for the bench only"


def fit_slope(sizes: collections.abc.Sequence[int], values: list[float]) -> float:
    """Return the least-squares slope of values over sizes."""
    mean_x = sum(sizes) / len(sizes)
    mean_y = sum(values) / len(values)
    covariance = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True)
    )
    return covariance / sum((x - mean_x) ** 2 for x in sizes)


def measure_bytes(
    make: collections.abc.Callable[[int], object],
    sizes: collections.abc.Sequence[int] = SIZES,
) -> float:
    """Return the bytes that each additional item takes."""
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        live_objects = make(size)
        values.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del live_objects
    return fit_slope(sizes, values)


def measure_cpu_us(
    operation: collections.abc.Callable[[int], object], repeats: int = REPEATS
) -> float:
    """Return the microseconds of processor time that one call of an operation takes."""
    counts = (repeats, 2 * repeats, 4 * repeats)
    values = []
    for count in counts:
        started_at = time.process_time()
        for index in range(count):
            operation(index)
        values.append(time.process_time() - started_at)
    return 1e6 * fit_slope(counts, values)


def make_fleet(count: int) -> membership.Fleet:
    """Return an entry's view of connected targets that are past their warm-up."""
    fleet = membership.Fleet()
    for index in range(count):
        view = membership.TargetView(f"target-{index}", "s", f"p{index % 7}", 1.0)
        view.mark_connected(-1000.0, index + 1)
        fleet.add(view)
    return fleet


def make_journal(count: int) -> journal.Journal:
    """Return a journal with this many keys of finished calls."""
    key_journal = journal.Journal("t", 1, 0.0)
    for index in range(count):
        key = keys.MintedKey(
            "account", "service", "t", 1, 10**9, index.to_bytes(8, "big")
        )
        key_journal.record_queued(1.0, key, index, index)
        key_journal.mark_running(key)
        key_journal.mark_done(key)
    return key_journal


def make_answers(count: int) -> list[answerbuffer.AnswerBuffer]:
    """Return buffered answers of 300 bytes, the size of a receipt."""
    answers = []
    for _ in range(count):
        answer = answerbuffer.AnswerBuffer()
        answer.begin(200, [("Content-Type", "application/json")])
        answer.append(b"x" * 300)
        answer.end()
        answers.append(answer)
    return answers


def make_rows(count: int) -> table.Rows:
    """Return a table with this many limit rows, and otherwise of the design size."""
    return table.Rows(
        accounts=[
            table.AccountRow(f"a{i}", [f"{hashing.hash_text(str(i)):064x}"])
            for i in range(210)
        ],
        services=[table.ServiceRow(f"s{i}", "model", model=f"m{i}") for i in range(27)],
        targets=[
            table.TargetRow(f"t{i}", f"s{i % 27}", f"p{i % 7}") for i in range(3100)
        ],
        limits=[
            table.LimitRow(f"s{i % 27}", f"a{i // 27 % 210}", f"p{i // 5670}")
            for i in range(count)
        ],
    )


def make_submit(number: int, budget_ms: int = 30_000) -> wire.Submit:
    """Return a submitted call with a body of one kilobyte."""
    return wire.Submit(
        number, "service", "account", "POST", "/v1/chat/completions",
        [("Content-Type", "application/json")], b"x" * 1000, "", 1, 5, budget_ms, 0,
        128 * 1024, True, number, "00-" + "0" * 32 + "-" + "0" * 16 + "-01",
    )  # fmt: skip


class QueuedItem:
    """An item with the attributes that ``CallQueue`` reads."""

    __slots__ = ("account", "cost", "deadline_at", "number", "priority", "share")

    def __init__(self, number: int) -> None:
        self.number = number
        self.account = f"a{number % 210}"
        self.share = 1.0
        self.priority = number % 3
        self.deadline_at = float(number)
        self.cost = 1.0


def make_open_calls(count: int) -> callscheduler.CallScheduler:
    """Return a scheduler with running calls that have one attempt each."""
    scheduler = callscheduler.CallScheduler("t", 1, 0.0, SECRET, count, count, 600.0)
    for index in range(count):
        scheduler.on_submit(1.0, 7, make_submit(index + 1))
    return scheduler


def make_token_relay(
    scheduler: callscheduler.CallScheduler, call: calls.Call
) -> collections.abc.Callable[[int], int]:
    """Return a function that relays one token from a target to an entry."""
    reader = frames.FrameReader(frames.MAX_FRAME_BYTES)
    text = b"data: " + b"x" * 180 + b"\n\n"

    def relay_token(index: int) -> int:
        actions = scheduler.on_target_data(call, text)
        for action in actions:
            assert isinstance(action, calls.Reply)
            reader.feed(frames.encode_frame(action.msg))
            msg = reader.read_message()
            assert isinstance(msg, wire.Data)
            end = msg.offset + len(msg.data)
            scheduler.on_credit(7, wire.Credit(msg.attempt, end, end + 128 * 1024))
        return index

    return relay_token


def add_memory(result: report.Report) -> None:
    """Add the bytes that each item of state takes."""
    result.add("bytes_per_target_known", measure_bytes(make_fleet))
    result.add("bytes_per_journal_key", measure_bytes(make_journal))
    result.add("bytes_per_kept_answer_300", measure_bytes(make_answers))
    result.add("bytes_per_open_call", measure_bytes(make_open_calls))
    result.add(
        "bytes_per_table_row",
        measure_bytes(lambda n: table.Table(1, make_rows(n)), ROW_SIZES),
    )
    result.add(
        "bytes_per_admission_account",
        measure_bytes(
            lambda n: [limits.TokenBucket(0.0, 1.0, 1.0) for _ in range(n)],
        ),
    )


def add_table_costs(result: report.Report) -> None:
    """Add the processor time of a revision of the table with 39,690 limit rows."""
    rows = make_rows(ROW_SIZES[-1])
    published, shards = manifest.build_manifest(rows, 1, None)
    result.add("table_shards", len(shards))
    result.add("table_bytes", sum(len(data) for data in shards.values()))
    result.add("largest_shard_bytes", max(len(data) for data in shards.values()))
    started_at = time.process_time()
    parts = [manifest.parse_shard(data) for data in shards.values()]
    result.add("ms_parse_whole_table", 1000 * (time.process_time() - started_at))
    whole = table.join_rows(p for p in parts if isinstance(p, table.Rows))
    started_at = time.process_time()
    assert not table.check_rows(whole)
    result.add("ms_check_whole_table", 1000 * (time.process_time() - started_at))
    started_at = time.process_time()
    table.Table(1, whole)
    result.add("ms_index_whole_table", 1000 * (time.process_time() - started_at))
    add_edit_costs(result, rows, published, shards)


def add_edit_costs(
    result: report.Report,
    rows: table.Rows,
    published: manifest.Manifest,
    shards: dict[str, bytes],
) -> None:
    """Add the processor time and bytes of an edit of one row for a process."""
    conf = configuration.Configuration(0.0)
    conf.on_manifest(0.0, "service", msgspec.json.encode(published))
    for digest, data in shards.items():
        conf.on_shard(0.0, digest, data)
    assert conf.revision == 1
    edited = [table.LimitRow("s0", "a0", "p0", rate=5.0), *rows.limits[1:]]
    changed = table.Rows(rows.accounts, rows.services, rows.targets, edited)
    second, second_shards = manifest.build_manifest(changed, 2, published)
    new_shards = {d: data for d, data in second_shards.items() if d not in shards}
    started_at = time.process_time()
    conf.on_manifest(1.0, "service", msgspec.json.encode(second))
    for digest, data in new_shards.items():
        conf.on_shard(1.0, digest, data)
    assert conf.revision == 2
    result.add("ms_adopt_edit_of_one_row", 1000 * (time.process_time() - started_at))
    compressed_bytes = sum(
        len(manifest.compress_value(data)) for data in new_shards.values()
    )
    result.add("shard_bytes_fetched_for_edit", compressed_bytes)
    text = msgspec.json.encode(second)
    result.add("manifest_bytes_fetched", len(manifest.compress_value(text)))


def add_decision_times(result: report.Report) -> None:
    """Add the processor time of each kind of decision and message."""
    fleet = make_fleet(64)
    target_router = router.Router(fleet, "p0")
    query = router.TargetQuery("s", random_samples=(0.3, 0.6, 0.1))
    result.add(
        "us_route_64_targets",
        measure_cpu_us(lambda i: target_router.choose_target(0.0, query)),
    )
    prefix_query = router.TargetQuery("s", prefix=12345)
    result.add(
        "us_route_prefix_64_targets",
        measure_cpu_us(lambda i: target_router.choose_target(0.0, prefix_query)),
    )
    admission = limits.ConcurrencyLimiter()
    row = table.LimitRow("s", rate=1e9, burst=1e9, concurrency=10**9)
    holder = leases.LeaseHolder([], 1.0)
    holder.add_lease(0.0, 10**9)

    def admit(index: int) -> None:
        admission.admit("a", row, errorcodes.Ran.NOT_RUN)
        holder.take(0.5)

    result.add("us_admit", measure_cpu_us(admit))
    issuer = leases.LeaseIssuer(0.0)
    result.add(
        "us_grant_lease",
        measure_cpu_us(lambda i: issuer.grant(float(i), "a", "s", 5, 100.0, 50.0, 8)),
    )
    queue: callqueue.CallQueue[QueuedItem] = callqueue.CallQueue(1000)
    for index in range(500):
        queue.enqueue(QueuedItem(index))

    numbers = itertools.count(1000)

    def enqueue_and_dequeue(index: int) -> None:
        queue.enqueue(QueuedItem(next(numbers)))
        queue.dequeue()

    result.add("us_queue_push_pop_500", measure_cpu_us(enqueue_and_dequeue))
    heartbeat = wire.Heartbeat(3_600_000, 1 << 44, False, 12, 3, 250)
    result.add("us_heartbeat", measure_cpu_us(lambda i: run_codec(heartbeat)))
    submit = make_submit(1)
    result.add("us_submit_codec", measure_cpu_us(lambda i: run_codec(submit)))
    scheduler = make_open_calls(1)
    call = scheduler.list_calls()[0]
    result.add(
        "us_token_through_desk_and_codec",
        measure_cpu_us(make_token_relay(scheduler, call)),
    )
    key = keys.MintedKey("a", "s", "t", 1, 10**9, b"12345678")
    text = keys.encode_key(SECRET, key)
    result.add(
        "us_parse_key", measure_cpu_us(lambda i: keys.parse_key(SECRET, "a", "s", text))
    )
    names = [f"target-{index}" for index in range(3100)]
    result.add(
        "us_choose_subset_of_3100",
        measure_cpu_us(lambda i: subset.choose_subset(f"e{i}", names, 64), 5),
    )


def run_codec(msg: wire.Message) -> None:
    """Encode a message into a frame and decode it again."""
    reader = frames.FrameReader(frames.MAX_FRAME_BYTES)
    reader.feed(frames.encode_frame(msg))
    assert reader.read_message() is not None


def add_frame_sizes(result: report.Report) -> None:
    """Add the frame sizes of control messages, and the overhead of a data frame."""
    samples: dict[str, wire.Message] = {
        "heartbeat": wire.Heartbeat(86_400_000, 12_000 << 24, False, 12, 3, 250),
        "credit": wire.Credit(100_000, 131_072, 262_144),
        "data_overhead": wire.Data(100_000, 131_072, b""),
        "lease": wire.RateLeaseReply("account-100", "service-20", 10, 86_400_000),
        "ask_lease": wire.RateLeaseRequest(
            "account-100", "service-20", "place-1", 10, 86_400_000
        ),
        "suspicion": wire.QuarantineNotice(1 << 62, 2),
        "grant": wire.GroupMessage(
            "group-100",
            255,
            groupwire.encode_group_message(steps.Grant((300, 12), 10_000_000)),
        ),
    }
    for name, msg in samples.items():
        result.add(f"frame_bytes_{name}", len(frames.encode_frame(msg)))


def run(seed: int) -> report.Report:
    """Run all measurements; the seed is not used."""
    result = report.Report("capacity")
    add_memory(result)
    add_table_costs(result)
    add_decision_times(result)
    add_frame_sizes(result)
    return result
