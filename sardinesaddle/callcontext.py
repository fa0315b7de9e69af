"""The state of one caller's request as it passes the filters of an entry."""

from sardinesaddle import errorcodes, keys, table


class CallContext:
    """A request, with the fields that the filters fill in.

    Times are in seconds on the event loop's clock.
    """

    __slots__ = (
        "account",
        "arrived_at",
        "body",
        "deadline_at",
        "fingerprint",
        "headers",
        "request_id",
        "is_idempotent",
        "is_suspect",
        "key",
        "key_text",
        "limit",
        "method",
        "offset",
        "path",
        "prefix",
        "service",
        "traceparent",
    )

    def __init__(
        self,
        request_id: str,
        arrived_at: float,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        self.request_id = request_id
        self.arrived_at = arrived_at
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.account = ""
        self.deadline_at = 0.0
        self.fingerprint = 0
        self.is_idempotent = True
        self.is_suspect = False
        self.key: keys.Key | None = None
        self.key_text = ""
        self.limit: table.LimitRow | None = None
        self.offset = 0
        self.prefix = 0
        self.service: table.ServiceRow | None = None
        self.traceparent = ""

    @property
    def ran_before_sending(self) -> errorcodes.Ran:
        """What can be said of the request's execution before any attempt is sent.

        A key may have been used through another entry, so it is unknown then.
        """
        if self.key_text:
            return errorcodes.Ran.UNKNOWN
        return errorcodes.Ran.NOT_RUN

    def get_header(self, name: str) -> str:
        """Return the first value of a header, or ''; names are case-insensitive."""
        lower_name = name.lower()
        for header_name, value in self.headers:
            if header_name.lower() == lower_name:
                return value
        return ""
