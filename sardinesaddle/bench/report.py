"""The report of a bench: its figures, and the bounds that some of them must meet."""

import dataclasses
import json
import typing

Figure = float | int | str


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """A limit that a figure must not exceed, or must reach."""

    figure: str
    relation: typing.Literal["at most", "at least"]
    limit: float

    def is_met(self, value: Figure) -> bool:
        """Return whether a value, compared as a float, meets the bound."""
        number = float(value)
        if self.relation == "at most":
            return number <= self.limit
        return number >= self.limit


class Report:
    """The figures of one bench run, in the order in which they were added."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.figures: dict[str, Figure] = {}
        self.bounds: list[Bound] = []

    def add(self, figure: str, value: Figure) -> None:
        """Add a figure without a bound; floats are rounded to four places."""
        self.figures[figure] = round(value, 4) if isinstance(value, float) else value

    def add_at_most(self, figure: str, value: Figure, limit: float) -> None:
        """Add a figure with an upper bound, which it may equal."""
        self.add(figure, value)
        self.bounds.append(Bound(figure, "at most", limit))

    def add_at_least(self, figure: str, value: Figure, limit: float) -> None:
        """Add a figure with a lower bound, which it may equal."""
        self.add(figure, value)
        self.bounds.append(Bound(figure, "at least", limit))

    def list_missed(self) -> list[str]:
        """Return a message for each missed bound, which starts with the figure."""
        return [
            f"{bound.figure} is {self.figures[bound.figure]},"
            f" must be {bound.relation} {bound.limit}"
            for bound in self.bounds
            if not bound.is_met(self.figures[bound.figure])
        ]

    def render_text(self) -> str:
        """Return the figures, bounds and missed bounds as a table for a terminal."""
        bounds = {b.figure: f"{b.relation} {b.limit:g}" for b in self.bounds}
        width = max(len(name) for name in self.figures)
        lines = [f"bench {self.name}"]
        for name, value in self.figures.items():
            lines.append(f"  {name:{width}}  {value!s:>12}  {bounds.get(name, '')}")
        lines += [f"  MISSED: {text}" for text in self.list_missed()]
        return "\n".join(lines)

    def render_json(self) -> str:
        """Return the figures, bounds and missed bounds as one JSON document."""
        document = {
            "bench": self.name,
            "figures": self.figures,
            "bounds": [dataclasses.asdict(bound) for bound in self.bounds],
            "missed": self.list_missed(),
        }
        return json.dumps(document)
