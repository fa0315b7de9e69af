"""Implements the operators' commands for the table: check, split and explain.

The table is one JSON file, with comments allowed. ``split_table`` writes the manifest
and the shards as one file each; operators publish these files themselves.
"""

import pathlib
import typing

import msgspec

from sardinesaddle import manifest, settings, table


class TableFaults(typing.NamedTuple):
    """A sentinel: the table cannot be used; one line for each fault."""

    lines: list[str]


def load_rows(file: str) -> table.Rows | TableFaults:
    """Read a table from a file and validate it."""
    parsed = settings.read_json_file(file)
    if isinstance(parsed, settings.SettingsFault):
        return TableFaults([parsed.text])
    unknown = settings.find_unknown_field(parsed, table.Rows, "$")
    if unknown is not None:
        return TableFaults([f"{file}: {unknown}"])
    try:
        rows = msgspec.convert(parsed, table.Rows)
    except msgspec.ValidationError as exc:
        return TableFaults([f"{file}: {exc}; correct the field"])
    faults = table.check_rows(rows)
    if faults:
        return TableFaults([f"{file}: {fault.render()}" for fault in faults])
    return rows


def describe_rows(rows: table.Rows) -> str:
    """Return the number of rows of each sheet as text."""
    sheets = ("accounts", "services", "targets", "limits", "groups")
    return ", ".join(f"{len(getattr(rows, name))} {name}" for name in sheets)


def read_published(
    directory: str,
) -> tuple[manifest.Manifest, table.Rows] | TableFaults:
    """Read the manifest and the rows that an earlier split wrote to a directory."""
    folder = pathlib.Path(directory)
    try:
        published = manifest.parse_manifest(
            (folder / manifest.MANIFEST_NAME).read_bytes()
        )
        if isinstance(published, manifest.ParseFault):
            return TableFaults([f"{directory}: {published.reason}"])
        parts = []
        for digest in published.shards:
            rows = manifest.parse_shard((folder / digest).read_bytes())
            if isinstance(rows, manifest.ParseFault):
                return TableFaults([f"{directory}/{digest}: {rows.reason}"])
            parts.append(rows)
    except OSError as exc:
        return TableFaults(
            [f"{exc.filename}: {exc.strerror}; give the OUT of an earlier split"]
        )
    return published, table.join_rows(parts)


def split_table(file: str, out_dir: str, previous_dir: str) -> str | TableFaults:
    """Write the manifest and the shards to ``out_dir``; return a summary line.

    ``previous_dir`` has the output of the split that this one follows, or is empty
    for the first revision.
    """
    rows = load_rows(file)
    if isinstance(rows, TableFaults):
        return rows
    previous: tuple[manifest.Manifest, table.Rows] | None = None
    if previous_dir:
        read_back = read_published(previous_dir)
        if isinstance(read_back, TableFaults):
            return read_back
        previous = read_back
    revision = 1 if previous is None else previous[0].revision + 1
    published, shards = manifest.build_manifest(
        rows, revision, previous[0] if previous else None
    )
    for digest, data in shards.items():
        if len(data) > manifest.MAX_VALUE_BYTES:
            limit = manifest.MAX_VALUE_BYTES
            return TableFaults([f"shard {digest} has {len(data)} bytes, over {limit}"])
    folder = pathlib.Path(out_dir)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for digest, data in shards.items():
            (folder / digest).write_bytes(data)
        path = folder / manifest.MANIFEST_NAME
        path.write_bytes(msgspec.json.encode(published))
    except OSError as exc:
        return TableFaults([f"{out_dir}: cannot be written: {exc.strerror}"])
    unchanged = set(previous[0].shards) & set(shards) if previous else set()
    return (
        f"{out_dir}: revision {revision}, {len(shards)} shards,"
        f" {len(shards) - len(unchanged)} of them new"
    )


def explain_row(
    rows: table.Rows, service: str, account: str, place: str
) -> str | TableFaults:
    """Return a line with the limit row that applies to a call."""
    tab = table.Table(1, rows)
    if service not in tab.services:
        return TableFaults([f"service {service!r} does not exist in sheet 'services'"])
    row = tab.find_limit(service, account, place)
    if row is None:
        return TableFaults(
            [f"no limit row for {service}/{account}/{place}: its calls are refused"]
        )
    line = rows.limits.index(row) + 1
    text = msgspec.json.encode(row).decode()
    return f"sheet 'limits', row {line} decides: {text}"
