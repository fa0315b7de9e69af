"""The operators' table: data-driven tests of its checks, and its published shards."""

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
    file.write_text("\n".join(case.input_lines))
    rows = tabletool.load_rows(str(file))
    lines = ["no faults"]
    if isinstance(rows, tabletool.TableFaults):
        lines = [line.removeprefix(f"{file}: ") for line in rows.lines]
    assert lines == case.expected_lines


def test_edit_of_one_row_changes_one_shard() -> None:
    rows = deployment.make_rows(deployment.ARCHIVO)
    first, first_shards = manifest.build_manifest(rows, 1, None)
    limits = [*rows.limits, table.LimitRow("summaries", "salto", rate=3.0)]
    edited_rows = table.Rows(
        rows.accounts, rows.services, rows.targets, limits, rows.groups
    )
    second, second_shards = manifest.build_manifest(edited_rows, 2, first)
    assert len(set(second.shards) - set(first.shards)) == 1
    assert manifest.build_manifest(rows, 1, None) == (first, first_shards)
    assert second_shards.keys() == set(second.shards)


def test_split_continues_an_earlier_revision(tmp_path: pathlib.Path) -> None:
    file = tmp_path / "table.json"
    file.write_text('{"services": [{"service":"s","kind":"plain","prefix":"/s"}]}')
    first_folder, second_folder = str(tmp_path / "one"), str(tmp_path / "two")
    assert "revision 1, 2 shards, 2 of them new" in tabletool.split_table(
        str(file), first_folder, ""
    )
    assert "revision 2, 2 shards, 0 of them new" in tabletool.split_table(
        str(file), second_folder, first_folder
    )


def test_most_specific_limit_row_applies() -> None:
    limits = [
        table.LimitRow("s", rate=1),
        table.LimitRow("s", "a", rate=2),
        table.LimitRow("s", "a", "p", rate=3),
    ]
    limit_table = table.Table(1, table.Rows(limits=limits))
    expected_rates = {("a", "p"): 3, ("a", "q"): 2, ("b", "p"): 1}
    for (account, place), rate in expected_rates.items():
        row = limit_table.find_limit("s", account, place)
        assert row is not None
        assert row.rate == rate
