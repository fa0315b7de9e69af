"""Asks an entry where a request would go now, and prints the explanation.

The entry answers at its metrics address and sends nothing. An answer that was saved to
a file can be printed again.
"""

import http.client
import json
import pathlib
import typing
import urllib.error
import urllib.parse
import urllib.request

TIMEOUT_S: typing.Final = 5.0


class ExplainFault(typing.NamedTuple):
    """Returned if there is no explanation; ``text`` names the remedy."""

    text: str


Page = dict[str, typing.Any]


def fetch_explanation(url: str, query: dict[str, str | int]) -> Page | ExplainFault:
    """Return the explanation of a request by the entry with the metrics address."""
    values = {name: value for name, value in query.items() if value not in ("", 0)}
    full_url = f"{url.rstrip('/')}/explain?{urllib.parse.urlencode(values)}"
    try:
        with urllib.request.urlopen(full_url, timeout=TIMEOUT_S) as resp:
            data = resp.read()
    except urllib.error.HTTPError as exc:
        data = exc.read()
        page = parse_page(data, url)
        return ExplainFault(page.get("text", str(exc)) if data else str(exc))
    except (urllib.error.URLError, OSError, http.client.HTTPException) as exc:
        return ExplainFault(
            f"{url}: {exc}; give the metrics address of an entry that is up"
        )
    page = parse_page(data, url)
    return ExplainFault(page["text"]) if "outcome" not in page else page


def read_explanation(path: str) -> Page | ExplainFault:
    """Return an explanation that was saved to a file."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        return ExplainFault(
            f"{path}: {exc.strerror}; give http://HOST:PORT or a saved explanation"
        )
    page = parse_page(data, path)
    return ExplainFault(page["text"]) if "outcome" not in page else page


def parse_page(data: bytes, source: str) -> Page:
    """Return the explanation in a document, or a page with only the ``text``."""
    try:
        page = json.loads(data)
    except ValueError:
        page = None
    if isinstance(page, dict) and ("outcome" in page or "text" in page):
        return page
    return {"text": f"{source}: not an explanation; ask the metrics address"}


def format_explanation(page: Page) -> str:
    """Return an explanation as a table."""
    lines = [format_outcome(page)]
    lines.append(
        f"configuration {page['config_version']}, confirmed"
        f" {page['config_age_s']} s ago"
    )
    if page["route"]:
        homes = page["homes"]
        lines.append(
            f"route {page['route']}, service {page['service']}, account"
            f" {page['account'] or '-'}, priority {page['priority']}, homes"
            f" {'any' if homes is None else ','.join(homes)}"
        )
    rows = [("target", "place", "load", "slots", "report_s", "verdicts")]
    for target in page["targets"]:
        report_age_s = target["report_age_s"]
        rows.append(
            (
                target["target"] + ("*" if target["in_subset"] else ""),
                target["place"],
                f"{target['load']:.2f}",
                str(target["slots"]),
                "-" if report_age_s is None else f"{report_age_s:.2f}",
                format_verdicts(target),
            )
        )
    widths = [max(len(row[column]) for row in rows) for column in range(5)]
    for row in rows if page["targets"] else ():
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=False)]
        lines.append("  ".join([*cells, row[-1]]))
    if page["targets"]:
        lines.append("* in this entry's subset")
    return "\n".join(lines)


def format_outcome(page: Page) -> str:
    """Return the first line: what would happen, and why."""
    if page["outcome"] == "send":
        return f"send to {page['target']}: {page['reason']}"
    if page["outcome"] == "wait":
        wait_s = page["wait_s"]
        time = "" if wait_s is None else f" for {wait_s:.2f} s"
        return f"wait{time} behind {page['waiting']}: {page['reason']}"
    return (
        f"refuse with {page['status']}: {page['reason']}; return after"
        f" {page['retry_after_s']:.2f} s"
    )


def format_verdicts(target: Page) -> str:
    """Return why a target would not take the request, or that it would."""
    reasons = [target["excluded_by"]] if target["excluded_by"] else []
    if target["ejected_s"]:
        reasons.append(f"ejected for {target['ejected_s']:.2f} s")
    for verdict in target["verdicts"]:
        if verdict["decision"] == "allowed":
            continue
        wait_s = verdict["wait_s"]
        time = "" if wait_s is None else f" {wait_s:.2f} s"
        reasons.append(f"{verdict['decision']}{time}: {verdict['reason']}")
    return "; ".join(reasons) or "allowed"
