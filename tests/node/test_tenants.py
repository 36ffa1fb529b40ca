"""The tenant table: indexes by name in the order of the settings, in little memory."""

from __future__ import annotations

import json
import sys

import pytest

from dykeshift.node import config
from dykeshift.node.tenants import TenantTable
from tests.node.stubs import configuration, settings

TENANT_COUNT = 15_000


@pytest.mark.parametrize(
    "names",
    [
        [],
        [b""],
        [b"b", b"a", b"", b"ab", b"aa", b"c"],
        [f"t{n * 7919 % 1009}".encode() for n in range(1009)],
    ],
)
def test_the_index_of_a_tenant_is_its_position_in_the_settings(names: list[bytes]) -> None:
    table = TenantTable.from_names(names)
    assert [table.index_of(name) for name in names] == list(range(len(names)))
    assert {table.index_of(unknown) for unknown in (b"t", b"a\0", b"zz", b"\xff")} == {len(names)}


def test_the_last_occurrence_of_a_repeated_name_counts() -> None:
    table = TenantTable.from_names([b"a", b"b", b"a"])
    assert (table.index_of(b"a"), table.index_of(b"b"), table.index_of(b"c")) == (2, 1, 3)


def test_a_tenant_takes_the_memory_of_its_name_and_two_integers() -> None:
    names = [f"tenant-{n}".encode() for n in range(TENANT_COUNT)]
    table = TenantTable.from_names(names)
    held_bytes = sum(sys.getsizeof(part) for part in (table.names, table.name_ends, table.indexes))
    array_bytes = 2 * 4 * TENANT_COUNT * 17 // 16  # a growing array over-allocates by a sixteenth
    assert held_bytes <= sum(map(len, names)) + array_bytes + 1000


def test_equal_quotas_are_one_object() -> None:
    raw = configuration(("127.0.0.1", 9))
    parties = [{"name": f"t{n}", "quotaPerS": 1.5 + n % 2} for n in range(100)]
    given = config.parse(json.dumps({**raw, "settings": settings(parties=parties)}))
    assert given.settings.tenant_quotas_per_s == (1.5, 2.5) * 50
    assert len({id(quota) for quota in given.settings.tenant_quotas_per_s}) == 2
