"""Tenants: found by name as the settings order them, and held compactly."""

from __future__ import annotations

import json
import sys

import pytest

from dykeshift.node import config
from dykeshift.node.tenants import TenantTable
from tests.node.stubs import configuration, settings

LARGE = 15_000


@pytest.mark.parametrize(
    "names",
    [
        [],
        [b""],
        [b"b", b"a", b"", b"ab", b"aa", b"c"],
        [f"t{n * 7919 % 1009}".encode() for n in range(1009)],
    ],
)
def test_each_tenant_has_its_place_in_the_settings_as_its_number(names: list[bytes]) -> None:
    table = TenantTable.from_names(names)
    assert [table.number_of(name) for name in names] == list(range(len(names)))
    assert {table.number_of(stranger) for stranger in (b"t", b"a\0", b"zz", b"\xff")} == {len(names)}


def test_of_a_name_that_comes_twice_the_last_holds() -> None:
    table = TenantTable.from_names([b"a", b"b", b"a"])
    assert (table.number_of(b"a"), table.number_of(b"b"), table.number_of(b"c")) == (2, 1, 3)


def test_a_tenant_takes_its_name_and_two_numbers() -> None:
    names = [f"tenant-{n}".encode() for n in range(LARGE)]
    table = TenantTable.from_names(names)
    held = sum(sys.getsizeof(part) for part in (table.names, table.name_ends, table.numbers))
    numbers = 2 * 4 * LARGE * 17 // 16  # an array that grows has a sixteenth to spare
    assert held <= sum(map(len, names)) + numbers + 1000


def test_equal_shares_are_one_object() -> None:
    raw = configuration(("127.0.0.1", 9))
    parties = [{"name": f"t{n}", "quotaPerS": 1.5 + n % 2} for n in range(100)]
    given = config.parse(json.dumps({**raw, "settings": settings(parties=parties)}))
    assert given.settings.tenant_quotas_per_s == (1.5, 2.5) * 50
    assert len({id(share) for share in given.settings.tenant_quotas_per_s}) == 2
