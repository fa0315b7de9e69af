"""Client of the status page of a running process."""

import http.client
import json
import typing
import urllib.error
import urllib.request

TIMEOUT_S: typing.Final = 5.0


class StatusFault(typing.NamedTuple):
    """Returned if the page cannot be read; ``text`` names the remedy."""

    text: str


def fetch_status(url: str) -> dict[str, object] | StatusFault:
    """Return the status of the process with the admin address ``url``."""
    if not url.startswith(("http://", "https://")):
        return StatusFault(f"{url!r}: give the admin address as http://HOST:PORT")
    try:
        with urllib.request.urlopen(
            url.rstrip("/") + "/status", timeout=TIMEOUT_S
        ) as resp:
            page: dict[str, object] = json.load(resp)
    except (urllib.error.URLError, OSError, http.client.HTTPException) as exc:
        return StatusFault(f"{url}: {exc}; check the process and its 'admin' setting")
    except ValueError:
        return StatusFault(f"{url}: not a status page; give the 'admin' address")
    return page
