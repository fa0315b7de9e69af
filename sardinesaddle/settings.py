"""Settings of a process, read once from a file of JSON with comments.

Every fault names the file, the path of the field and the remedy. An unknown field is
reported with the closest known name.
"""

import difflib
import pathlib
import typing

import msgspec

MIN_SECRET_BYTES: typing.Final = 16


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An address to listen on; for port 0 the operating system picks a free port."""

    host: str = "127.0.0.1"
    port: typing.Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0


class Platform(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform's services.

    ``reader`` makes this process watch the configuration service. Other processes
    receive revisions from their peers. ``hosts_period_s`` is the time between two
    reads of the host list.
    """

    config_url: str
    hosts_url: str
    reader: bool = False
    hosts_period_s: typing.Annotated[float, msgspec.Meta(gt=0)] = 5.0


class Tracing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Destinations of finished spans: a file, an OTLP/HTTP receiver, both or none."""

    file: str = ""
    otlp_url: str = ""


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an entry.

    ``drain_reachable_s`` is how long a draining entry still accepts calls, so that
    the platform's load balancer can remove it first. ``subset_size`` is the
    number of targets of each service that the entry connects to. ``max_calls`` is
    how many calls it holds at once.
    """

    name: str
    place: str
    secret_file: str
    platform: Platform
    listen: Listen = Listen()
    admin: Listen = Listen()
    tracing: Tracing = Tracing()
    drain_reachable_s: typing.Annotated[float, msgspec.Meta(ge=0)] = 5.0
    subset_size: typing.Annotated[int, msgspec.Meta(ge=1)] = 16
    max_calls: typing.Annotated[int, msgspec.Meta(ge=1)] = 400
    log_level: str = "INFO"


class SidecarSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a sidecar.

    ``target_url`` is the base URL of its target. ``slots`` is how many calls may run
    at the target at once, ``max_queued`` how many may wait. ``retry_horizon_s`` is
    the time in which callers may resend a call with the same key.
    """

    target: str
    place: str
    secret_file: str
    platform: Platform
    target_url: str
    listen: Listen = Listen()
    admin: Listen = Listen()
    tracing: Tracing = Tracing()
    slots: typing.Annotated[int, msgspec.Meta(ge=1)] = 16
    max_queued: typing.Annotated[int, msgspec.Meta(ge=1)] = 256
    retry_horizon_s: typing.Annotated[float, msgspec.Meta(ge=1)] = 600.0
    log_level: str = "INFO"


class SettingsFault(msgspec.Struct, frozen=True):
    """Returned if settings are not usable; ``text`` names the path and the remedy."""

    text: str


Settings = typing.TypeVar("Settings")


def read_json_file(path: str) -> object | SettingsFault:
    """Return the parsed content of a file of JSON with comments."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except FileNotFoundError:
        return SettingsFault(f"{path}: no such file; give the path of a settings file")
    except (OSError, UnicodeDecodeError) as exc:
        return SettingsFault(f"{path}: cannot be read: {exc}")
    try:
        # Tries plain JSON first: json5 takes 2,700 times as long, minutes for a
        # large table.
        return typing.cast("object", msgspec.json.decode(text))
    except msgspec.DecodeError:
        pass
    import json5  # Imported only when needed, since it takes memory in each process.

    try:
        parsed: object = json5.loads(text)
    except ValueError as exc:
        return SettingsFault(f"{path}: not JSON with comments: {exc}")
    return parsed


def load_settings(path: str, settings_type: type[Settings]) -> Settings | SettingsFault:
    """Return the settings in a file, checked against the fields of their type."""
    parsed = read_json_file(path)
    if isinstance(parsed, SettingsFault):
        return parsed
    unknown_field = find_unknown_field(parsed, settings_type, "$")
    if unknown_field is not None:
        return SettingsFault(f"{path}: {unknown_field}")
    try:
        return msgspec.convert(parsed, settings_type)
    except msgspec.ValidationError as exc:
        return SettingsFault(f"{path}: {exc}; correct the field")


def find_unknown_field(
    value: object, expected_type: typing.Any, path: str
) -> str | None:
    """Return a message on the first unknown field, or None if all are known.

    ``path`` is the position of ``value`` in the file, with ``$`` for the root.
    """
    if isinstance(value, list) and typing.get_origin(expected_type) is list:
        item_type = typing.get_args(expected_type)[0]
        for index, item in enumerate(value):
            message = find_unknown_field(item, item_type, f"{path}[{index}]")
            if message is not None:
                return message
    if not (
        isinstance(expected_type, type) and issubclass(expected_type, msgspec.Struct)
    ):
        return None
    if not isinstance(value, dict):
        return None
    known = {field.name: field.type for field in msgspec.structs.fields(expected_type)}
    for name, field_value in value.items():
        if name not in known:
            matches = difflib.get_close_matches(str(name), known, n=1, cutoff=0.5)
            hint = f"; did you mean {matches[0]!r}?" if matches else ""
            names = ", ".join(sorted(known))
            return f"{path}.{name}: unknown field{hint} (known: {names})"
        message = find_unknown_field(field_value, known[name], f"{path}.{name}")
        if message is not None:
            return message
    return None


def load_secret(path: str) -> bytes | SettingsFault:
    """Return the secret that all processes of the fleet share.

    Whitespace around it is removed.
    """
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as exc:
        return SettingsFault(f"{path}: the secret cannot be read: {exc.strerror}")
    if len(secret) < MIN_SECRET_BYTES:
        return SettingsFault(
            f"{path}: the secret has {len(secret)} bytes;"
            f" write at least {MIN_SECRET_BYTES} random bytes"
        )
    return secret
