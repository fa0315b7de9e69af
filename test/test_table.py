"""Data-driven cases of the operators' table, and its published form."""

import pathlib

import pytest

from sardinesaddle import manifest, table, tabletool
from sardinesaddle.standins import deployment
from test import casefile


@pytest.mark.parametrize(
    "case", casefile.read_cases("table.test"), ids=lambda case: case.name
)
def test_table(case: casefile.Case, tmp_path: pathlib.Path) -> None:
    file = tmp_path / "table.json"
    file.write_text("\n".join(case.lines))
    rows = tabletool.load_rows(str(file))
    lines = ["no faults"]
    if isinstance(rows, tabletool.TableFaults):
        lines = [line.removeprefix(f"{file}: ") for line in rows.lines]
    assert lines == case.out


def test_an_edit_of_one_row_changes_one_shard() -> None:
    rows = deployment.make_rows(deployment.ARCHIVO)
    first, shards = manifest.build_manifest(rows, 1, None)
    limits = [*rows.limits, table.LimitRow("summaries", "salto", rate=3.0)]
    edited = table.Rows(rows.accounts, rows.services, rows.targets, limits, rows.groups)
    second, more = manifest.build_manifest(edited, 2, first)
    assert len(set(second.shards) - set(first.shards)) == 1
    assert manifest.build_manifest(rows, 1, None) == (first, shards)
    assert more.keys() == set(second.shards)


def test_split_follows_an_earlier_revision(tmp_path: pathlib.Path) -> None:
    file = tmp_path / "table.json"
    file.write_text('{"services": [{"service":"s","kind":"plain","prefix":"/s"}]}')
    one, two = str(tmp_path / "one"), str(tmp_path / "two")
    assert "revision 1, 2 shards, 2 of them new" in tabletool.split_table(
        str(file), one, ""
    )
    assert "revision 2, 2 shards, 0 of them new" in tabletool.split_table(
        str(file), two, one
    )


def test_most_specific_limit_row_decides() -> None:
    limits = [
        table.LimitRow("s", rate=1),
        table.LimitRow("s", "a", rate=2),
        table.LimitRow("s", "a", "p", rate=3),
    ]
    tab = table.Table(1, table.Rows(limits=limits))
    wanted = {("a", "p"): 3, ("a", "q"): 2, ("b", "p"): 1}
    for (account, place), rate in wanted.items():
        row = tab.find_limit("s", account, place)
        assert row is not None
        assert row.rate == rate
