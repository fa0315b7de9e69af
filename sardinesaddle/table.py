"""The operators' table: typed rows, their validation, and an index for requests.

The table has five sheets. ``accounts`` lists the client accounts with the digests of
their tokens. ``services`` defines how calls are routed to a service and whether they
are idempotent. ``targets`` lists the targets of each service, with their places.
``limits`` has one row per service, client account and place; an account or place of
``*`` matches all that have no row of their own. ``groups`` lists the lock-step groups.

Whether a table is accepted depends on its content alone, so all processes decide
alike. ``check_rows`` reports each fault with its sheet, row and remedy.
"""

import collections
import collections.abc
import hashlib
import hmac
import typing

import msgspec

ANY: typing.Final = "*"  # matches every account or place
MAX_PRIORITY: typing.Final = 9  # the least urgent
ALWAYS_IDEMPOTENT_METHODS: typing.Final = frozenset({"GET", "HEAD", "OPTIONS"})


class AccountRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account; ``token_digests`` are hexadecimal SHA-256 digests."""

    account: str
    token_digests: list[str]
    share: float = 1.0


class ServiceRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service, selected by model name or, if plain, by path prefix."""

    service: str
    kind: typing.Literal["model", "plain"]
    model: str = ""
    prefix: str = ""
    idempotent: bool = True
    version: str = ""


class TargetRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A target of a service.

    Operators set ``dead`` to state that the target has been removed for good.
    """

    target: str
    service: str
    place: str
    weight: float = 1.0
    state: typing.Literal["active", "dead"] = "active"
    checks_orders: bool = False
    group: str = ""


class LimitRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights and limits of one service, client account and place.

    ``rate`` is in requests per second, ``burst`` in requests, ``deadline_s`` in
    seconds; a lower ``priority`` is served first. ``weight`` is the share of the
    account's calls that this place receives.
    """

    service: str
    account: str = ANY
    place: str = ANY
    weight: float = 1.0
    rate: float = 1000.0
    burst: float = 100.0
    concurrency: int = 1000
    priority: int = 5
    deadline_s: float = 30.0


class GroupRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A lock-step group, its number of experts and its weights for placement."""

    group: str
    experts: int
    skew_weight: float = 1.0
    move_weight: float = 1.0


class Rows(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The rows of a table, or of one shard of it."""

    accounts: list[AccountRow] = []
    services: list[ServiceRow] = []
    targets: list[TargetRow] = []
    limits: list[LimitRow] = []
    groups: list[GroupRow] = []


class Fault(msgspec.Struct, frozen=True):
    """A reason to reject a table; ``line`` is the row in its sheet, from 1."""

    sheet: str
    line: int
    text: str

    def render(self) -> str:
        """Return the fault as one line for logs and terminals."""
        return f"sheet {self.sheet!r}, row {self.line}: {self.text}"


def join_rows(parts: typing.Iterable[Rows]) -> Rows:
    """Concatenate the rows of all shards."""
    joined = Rows([], [], [], [], [])
    for part in parts:
        joined.accounts.extend(part.accounts)
        joined.services.extend(part.services)
        joined.targets.extend(part.targets)
        joined.limits.extend(part.limits)
        joined.groups.extend(part.groups)
    return joined


def check_rows(rows: Rows) -> list[Fault]:
    """Return every fault of a table; an empty list means that it is accepted."""
    faults: list[Fault] = []
    services = {row.service for row in rows.services}
    accounts = {row.account for row in rows.accounts} | {ANY}
    places = {row.place for row in rows.targets} | {ANY}
    groups = {row.group for row in rows.groups}
    _check_unique(faults, "accounts", [row.account for row in rows.accounts])
    _check_unique(faults, "services", [row.service for row in rows.services])
    _check_unique(faults, "targets", [row.target for row in rows.targets])
    _check_unique(faults, "groups", [row.group for row in rows.groups])
    _check_unique(
        faults, "limits", [(r.service, r.account, r.place) for r in rows.limits]
    )
    _check_unique(
        faults, "accounts", [d for row in rows.accounts for d in row.token_digests]
    )
    for line, service in enumerate(rows.services, 1):
        _check_service(faults, line, service)
    for line, target in enumerate(rows.targets, 1):
        if target.service not in services:
            text = f"service {target.service!r} does not exist in sheet 'services'"
            faults.append(Fault("targets", line, text))
        if not 0 <= target.weight <= 1000:
            text = f"weight {target.weight} must be 0 to 1000"
            faults.append(Fault("targets", line, text))
        if target.group and target.group not in groups:
            text = f"group {target.group!r} does not exist in sheet 'groups'"
            faults.append(Fault("targets", line, text))
    for line, limit in enumerate(rows.limits, 1):
        if not _is_valid_limit(limit, services, accounts, places):
            _check_limit(faults, line, limit, services, accounts, places)
    return faults


def _is_valid_limit(
    row: LimitRow, services: set[str], accounts: set[str], places: set[str]
) -> bool:
    """Check a limit row quickly, since nearly all rows are valid.

    ``_check_limit`` makes the same checks and reports the faults.
    """
    return (
        row.service in services
        and row.account in accounts
        and row.place in places
        and 0 <= row.priority <= MAX_PRIORITY
        and row.rate >= 0
        and row.burst >= 1
        and row.concurrency >= 0
        and row.deadline_s > 0
        and row.weight >= 0
    )


def _check_unique(
    faults: list[Fault],
    sheet: str,
    names: collections.abc.Sequence[str | tuple[str, ...]],
) -> None:
    """Report empty and duplicate names."""
    if len(set(names)) == len(names) and "" not in names:
        return
    seen: set[str | tuple[str, ...]] = set()
    for line, name in enumerate(names, 1):
        if not name:
            faults.append(Fault(sheet, line, "the name is empty; enter a name"))
        elif name in seen:
            text = f"{name!r} appears twice; remove one of the rows"
            faults.append(Fault(sheet, line, text))
        seen.add(name)


def _check_service(faults: list[Fault], line: int, row: ServiceRow) -> None:
    """Report a service that no call could be routed to."""
    if row.kind == "model" and not row.model:
        text = f"service {row.service!r} of kind 'model' needs the field 'model'"
        faults.append(Fault("services", line, text))
    if row.kind == "plain" and not row.prefix.startswith("/"):
        text = f"service {row.service!r} of kind 'plain' needs a 'prefix' with '/'"
        faults.append(Fault("services", line, text))
    if row.kind == "plain" and row.prefix.startswith("/v1/"):
        text = f"prefix {row.prefix!r} is taken by the system; choose another"
        faults.append(Fault("services", line, text))


def _check_limit(
    faults: list[Fault],
    line: int,
    row: LimitRow,
    services: set[str],
    accounts: set[str],
    places: set[str],
) -> None:
    """Report each unknown name and out-of-range number of a limit row."""

    def report(text: str) -> None:
        faults.append(Fault("limits", line, text))

    if row.service not in services:
        report(f"service {row.service!r} does not exist in sheet 'services'")
    if row.account not in accounts:
        report(f"account {row.account!r} does not exist in sheet 'accounts'")
    if row.place not in places:
        report(f"place {row.place!r} does not exist in sheet 'targets'")
    if not 0 <= row.priority <= MAX_PRIORITY:
        report(f"priority {row.priority} must be 0 to {MAX_PRIORITY}")
    if row.rate < 0 or row.burst < 1 or row.concurrency < 0:
        report("rate, burst and concurrency must be 0 or more, burst 1 or more")
    if row.deadline_s <= 0:
        report(f"deadline_s {row.deadline_s} must be above 0")
    if row.weight < 0:
        report(f"weight {row.weight} must be 0 or more")


class Table:
    """An accepted table, indexed for lookups by requests."""

    __slots__ = (
        "_limits",
        "_services_by_model",
        "_services_by_prefix",
        "_accounts_by_digest",
        "accounts",
        "groups",
        "revision",
        "rows",
        "services",
        "targets",
        "targets_by_service",
    )

    def __init__(self, revision: int, rows: Rows) -> None:
        self.revision = revision
        self.rows = rows
        self.accounts = {row.account: row for row in rows.accounts}
        self.services = {row.service: row for row in rows.services}
        self.targets = {row.target: row for row in rows.targets}
        self.groups = {row.group: row for row in rows.groups}
        self.targets_by_service: dict[str, list[TargetRow]] = collections.defaultdict(
            list
        )
        for target in rows.targets:
            self.targets_by_service[target.service].append(target)
        self._accounts_by_digest = {
            digest: row.account for row in rows.accounts for digest in row.token_digests
        }
        self._services_by_model = {
            r.model: r for r in rows.services if r.kind == "model"
        }
        plain_services = [r for r in rows.services if r.kind == "plain"]
        self._services_by_prefix = sorted(plain_services, key=lambda r: -len(r.prefix))
        self._limits = {(r.service, r.account, r.place): r for r in rows.limits}

    def find_account(self, token: str) -> str | None:
        """Return the account of a bearer token, or None if the token is unknown."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        for stored_digest, account in self._find_token_candidates(digest):
            if hmac.compare_digest(stored_digest, digest):
                return account
        return None

    def _find_token_candidates(self, digest: str) -> list[tuple[str, str]]:
        """Return the accounts whose token may have the digest, by index lookup.

        The timing of the lookup depends on the digest only, not on the token.
        """
        account = self._accounts_by_digest.get(digest)
        return [] if account is None else [(digest, account)]

    def find_model_service(self, model: str) -> ServiceRow | None:
        """Return the service of a model, or None."""
        return self._services_by_model.get(model)

    def find_plain_service(self, path: str) -> ServiceRow | None:
        """Return the plain service with the longest matching prefix, or None."""
        for row in self._services_by_prefix:
            if path.startswith(row.prefix):
                return row
        return None

    def find_limit(self, service: str, account: str, place: str) -> LimitRow | None:
        """Return the most specific limit row, or None if the table has none."""
        for row_account in (account, ANY):
            for row_place in (place, ANY):
                row = self._limits.get((service, row_account, row_place))
                if row is not None:
                    return row
        return None

    def list_service_targets(self, service: str) -> list[TargetRow]:
        """Return the rows of a service's targets; empty if it has none."""
        return self.targets_by_service.get(service, [])

    def is_idempotent(self, service: ServiceRow, method: str) -> bool:
        """Return whether a call with this HTTP method may be run more than once."""
        return service.idempotent or method in ALWAYS_IDEMPOTENT_METHODS
