"""Large lists: read in bounded steps, applied in full or not at all, and kept in little memory."""

from __future__ import annotations

import asyncio
import gc
import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from dykeshift.interface import Action, ListKind, ServerListUpdate
from dykeshift.node import config
from dykeshift.node.json_cursor import JsonCursor
from dykeshift.node.listing import (
    ROWS_PER_STEP,
    ListedServer,
    ListReader,
    ServerRow,
    parse_listing,
    read_usual_head,
    server_id_of,
)
from dykeshift.node.upstream import Pool
from dykeshift.settings import SettingsError
from tests.node.stubs import (
    Message,
    RunningBalancer,
    StubLongPollServer,
    StubServer,
    configuration,
    http_request,
    http_response,
    instance,
    listing,
    responds_with,
    run,
    running_balancer,
    settings,
    wait_until,
)

LARGE_COUNT = 6400
HOUR_NS = 3_600_000_000_000  # longer than any list takes to read


def large_list(count: int = LARGE_COUNT, generation: int = 2, state: str = "active") -> dict[str, Any]:
    """Return a full list of servers that cannot be reached."""
    rows = (instance(f"l{n}", ("127.0.0.1", 9), state, startedAtMs=n) for n in range(count))
    return listing(generation, True, *rows)


def settings_with_drain_grace(nanoseconds: int) -> dict[str, Any]:
    given = settings()
    given["obligations"]["drainGraceNs"] = nanoseconds
    return given


class CountingReader(ListReader):
    """Counts the rows that it converts, and calls `row_callbacks[n]` at the n-th row."""

    def __init__(self, zones: tuple[str, ...] = ("a", "b"), kinds: tuple[str, ...] = ("m",)) -> None:
        super().__init__(zones, kinds)
        self.rows = 0
        self.row_callbacks: dict[int, Any] = {}

    def convert(self, row: ServerRow) -> ListedServer:
        self.rows += 1
        if self.rows in self.row_callbacks:
            self.row_callbacks[self.rows]()
        return super().convert(row)


def count_rows(balancer: RunningBalancer) -> CountingReader:
    balancer.reload.discovery.reader = reader = CountingReader()
    return reader


def record_updates(balancer: RunningBalancer) -> list[ServerListUpdate]:
    updates: list[ServerListUpdate] = []
    module = balancer.frontend.driver.decision_module
    on_list_before = module.on_list

    def on_list(now: int, update: ServerListUpdate) -> list[Action]:
        updates.append(update)
        return on_list_before(now, update)

    module.on_list = on_list  # type: ignore[method-assign]
    return updates


# ---- reading in steps ----


def test_other_tasks_run_after_each_step() -> None:
    async def main() -> None:
        reader = CountingReader()
        loop = asyncio.get_running_loop()
        rows_at_iteration = [0]

        def record_rows() -> None:
            rows_at_iteration.append(reader.rows)
            if reader.rows < LARGE_COUNT:
                loop.call_soon(record_rows)

        loop.call_soon(record_rows)
        result = await reader.read(json.dumps(large_list()))
        assert len(result.servers) == reader.rows == LARGE_COUNT
        steps = [b - a for a, b in zip(rows_at_iteration, rows_at_iteration[1:], strict=False)]
        assert max(steps) <= ROWS_PER_STEP and len(steps) >= LARGE_COUNT // ROWS_PER_STEP

    run(main())


def test_rest_is_read_at_once_when_the_time_to_yield_is_over() -> None:
    async def main() -> None:
        reader = CountingReader()
        loop = asyncio.get_running_loop()
        rows_seen: list[int] = []
        reader.row_callbacks[1] = lambda: loop.call_soon(lambda: rows_seen.append(reader.rows))
        await reader.read(json.dumps(large_list()), yield_until=0.0)
        await asyncio.sleep(0)
        assert rows_seen == [LARGE_COUNT]

    run(main())


def test_drain_in_a_large_list_takes_effect_however_long_the_list_takes_to_read() -> None:
    """While a list is read, the old one is used, for no longer than a share of the drain grace."""

    async def main() -> None:
        stub, other = (
            await StubServer(responds_with(http_response())).start(),
            await StubServer(responds_with(http_response())).start(),
        )
        # A drain grace of 0 leaves no time to yield.
        async with running_balancer(stub, settings=settings_with_drain_grace(0)) as balancer:
            reader = count_rows(balancer)
            tasks: list[asyncio.Task[Message]] = []
            reader.row_callbacks[1] = lambda: tasks.append(
                asyncio.create_task(balancer.fetch(http_request()))
            )
            full_list = large_list(10 * ROWS_PER_STEP, state="leaving")
            full_list["instances"] += [instance("s0", stub.address, "leaving"), instance("s1", other.address)]
            balancer.discovery.queue_json(full_list)
            await wait_until(lambda: bool(tasks))
            assert (await tasks[0]).body == b"done"
            assert not stub.requests and len(other.requests) == 1

    run(main())


def test_first_list_is_read_in_steps_however_long_that_takes() -> None:
    async def main() -> None:
        async with running_balancer(settings=settings_with_drain_grace(0)) as balancer:
            reader = count_rows(balancer)
            rows_seen: list[int] = []
            reader.row_callbacks[1] = lambda: asyncio.get_running_loop().call_soon(
                lambda: rows_seen.append(reader.rows)
            )
            balancer.discovery.queue_json(large_list())
            await wait_until(lambda: len(balancer.frontend.driver.pool.listed_servers) == LARGE_COUNT)
            assert rows_seen == [ROWS_PER_STEP]

    run(main())


def test_requests_are_served_while_a_large_list_is_read() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub, settings=settings_with_drain_grace(HOUR_NS)) as balancer:
            reader = count_rows(balancer)
            served_at: list[int] = []

            async def fetch_response() -> None:
                await balancer.fetch(http_request())
                served_at.append(reader.rows)

            tasks: list[asyncio.Task[None]] = []
            reader.row_callbacks[1] = lambda: tasks.append(asyncio.create_task(fetch_response()))
            balancer.discovery.queue_json(large_list())
            await wait_until(lambda: bool(served_at))
            assert served_at[0] < LARGE_COUNT
            await wait_until(lambda: len(balancer.frontend.driver.pool.listed_servers) == LARGE_COUNT)

    run(main())


VALID_JSON = [
    '{"a":1}',
    "{}",
    ' { "a" : [ ] , "b" : { } , "a" : 2 } ',
    '{"instances":[1 , 2,{"x":[3]}],"instances":[4],"z":null}',
    '{"\\u0061":"\\"}]"}',
]
INVALID_JSON = [
    "",
    " ",
    "{",
    '{"a"',
    '{"a":',
    '{"a":1',
    '{"a":1,',
    '{"a":1,}',
    "{1:2}",
    "{,}",
    '{"a" 1}',
    '{"a":1 "b":2}',
    '{"a":[1,]}',
    '{"a":[1 2]}',
    '{"a":[,]}',
    '{"a":[1',
    '{"a":1}}',
    '{"a":1} x',
]


def parse_incrementally(text: str) -> dict[str, Any]:
    cursor = JsonCursor(text)
    fields = {}
    for key in cursor.read_keys():
        fields[key] = list(cursor.read_elements()) if cursor.is_at("[") else cursor.read_value()
    cursor.expect_end()
    return fields


@pytest.mark.parametrize("text", VALID_JSON)
def test_incremental_parsing_equals_json_loads(text: str) -> None:
    assert parse_incrementally(text) == json.loads(text)


@pytest.mark.parametrize("text", INVALID_JSON)
def test_incremental_parsing_rejects_what_json_loads_rejects(text: str) -> None:
    with pytest.raises(ValueError):
        json.loads(text)
    with pytest.raises(ValueError):
        parse_incrementally(text)


@pytest.mark.parametrize(
    "order", [("instances", "generation", "reset"), ("reset", "instances", "generation")]
)
def test_members_of_a_list_may_be_in_any_order(order: tuple[str, ...]) -> None:
    full_list = large_list(250, generation=7)
    result = parse_listing(JsonCursor(json.dumps({key: full_list[key] for key in order})))
    assert (result.generation, result.is_full, len(result.servers)) == (7, True, 250)


# ---- applied in full or not at all ----


def test_large_list_with_one_invalid_row_is_not_applied() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            updates = record_updates(balancer)
            full_list = large_list(10 * ROWS_PER_STEP)
            full_list["instances"][-1]["lifecycle"] = "asleep"
            balancer.discovery.queue_json(full_list)
            await wait_until(lambda: bool(updates))
            assert [update.kind for update in updates] == [ListKind.FAILED]
            assert set(balancer.frontend.driver.pool.listed_servers) == {server_id_of("s0")}
            assert (await balancer.fetch(http_request())).body == b"done"

    run(main())


@pytest.mark.parametrize("row", [1, ROWS_PER_STEP, 5 * ROWS_PER_STEP, 10 * ROWS_PER_STEP])
def test_list_is_not_applied_after_that_of_the_next_discovery_address(row: int) -> None:
    """The address changes while a list is being read. That list is in time and is still applied.

    Applied after the list of the other discovery, it would undo the changes of that one.
    """

    async def main() -> None:
        stub, other = (
            await StubServer(responds_with(http_response())).start(),
            await StubLongPollServer().start(),
        )
        async with running_balancer(stub, settings=settings_with_drain_grace(HOUR_NS)) as balancer:
            updates = record_updates(balancer)
            reader = count_rows(balancer)
            other.queue_json(listing(1, True, instance("s0", stub.address), instance("s1", stub.address)))
            reader.row_callbacks[row] = lambda: asyncio.get_running_loop().call_soon(
                balancer.switch_discovery, other
            )
            # One row more than a whole number of steps, so that the list does not end with the last yield.
            old_list = large_list(10 * ROWS_PER_STEP + 1, state="leaving")
            balancer.discovery.queue_json(old_list)
            await wait_until(lambda: len(other.paths) == 2)
            assert [(update.kind, len(update.entries)) for update in updates] == [
                (ListKind.FULL, len(old_list["instances"])),
                (ListKind.FULL, 2),
            ]
            assert other.paths[1].startswith("/v1/endpoints?from=1&")
            assert set(balancer.frontend.driver.pool.listed_servers) == {
                server_id_of("s0"),
                server_id_of("s1"),
            }
            assert reader.rows == len(old_list["instances"]) + 2  # each list was read once

    run(main())


# ---- memory ----


def count_tracked_objects(build: Any) -> tuple[int, Any]:
    """Return how many objects the garbage collector tracks for the result of `build`, and that result."""
    gc.collect()
    before = len(gc.get_objects())
    created = build()
    gc.collect()
    return len(gc.get_objects()) - before, created


@pytest.mark.parametrize("count", [100, LARGE_COUNT])
def test_listed_server_takes_two_objects_until_it_is_used(count: int) -> None:
    async def main() -> None:
        pool = Pool(asyncio.get_running_loop(), 10, 1.0, 10.0)
        text = json.dumps(large_list(count))
        convert = CountingReader().convert
        object_count, _ = count_tracked_objects(
            lambda: pool.replace_servers([convert(row) for row in parse_listing(JsonCursor(text)).servers])
        )
        assert object_count <= 2 * count + 20
        assert len(pool.listed_servers) == count and not pool.upstreams

    run(main())


def test_servers_of_equal_weight_share_one_object() -> None:
    text = json.dumps(large_list(10))
    rows = parse_listing(JsonCursor(text)).servers + parse_listing(JsonCursor(text)).servers
    assert len({id(row.weight) for row in rows}) == 1


def test_list_adds_objects_for_changed_servers_only() -> None:
    """The balancer reads a first list of the agent, and then two further full lists."""

    async def main() -> None:
        first, second = large_list(100, generation=7), large_list(101, generation=8)
        second["instances"][5]["lifecycle"] = "leaving"
        agent = await StubLongPollServer().start()
        agent.queue_json(first)
        async with running_balancer(
            discovery_answers=False, settings=settings(discovery="push"), discovery="%s:%d" % agent.address
        ) as balancer:
            pool = balancer.frontend.driver.pool
            await wait_until(lambda: len(pool.listed_servers) == 100)
            ids_before = {number: id(listed) for number, listed in pool.listed_servers.items()}
            agent.queue_json(second)
            agent.queue_json(second)  # the first may be the response to a call that has ended
            await wait_until(lambda: len(pool.listed_servers) == 101)
            changed = {
                number
                for number, listed in pool.listed_servers.items()
                if ids_before.get(number) != id(listed)
            }
            assert changed == {server_id_of("l5"), server_id_of("l100")}

    run(main())


def test_pool_keeps_connection_state_for_used_servers_only() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            pool = balancer.frontend.driver.pool
            full_list = large_list(LARGE_COUNT, state="leaving")
            full_list["instances"].append(instance("s0", stub.address))
            balancer.discovery.queue_json(full_list)
            await wait_until(lambda: len(pool.listed_servers) == LARGE_COUNT + 1)
            for n in range(5):
                assert (await balancer.fetch(http_request(request_id=f"r{n}"))).body == b"done"
            assert set(pool.upstreams) == {server_id_of("s0")}
            balancer.discovery.queue_json(listing(3, True, instance("l0", ("127.0.0.1", 9), "leaving")))
            await wait_until(lambda: len(pool.listed_servers) == 1)
            assert not pool.upstreams and stub.closed_connections <= len(stub.writers)

    run(main())


@pytest.mark.parametrize("count", [10, LARGE_COUNT])
def test_configuration_takes_one_object_per_known_server_and_none_per_tenant(
    count: int, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    parties = [{"name": f"t{n}", "quotaPerS": n + 0.5} for n in range(2 * count)]
    raw_config = configuration(("127.0.0.1", 9), large_list(count))
    path.write_text(json.dumps({**raw_config, "settings": settings(parties=parties)}))
    object_count, parsed = count_tracked_objects(lambda: config.load(str(path)))
    assert object_count <= count + 100
    assert len(parsed.known_list.servers) == count
    assert [parsed.tenants.index_of(f"t{n}".encode()) for n in range(2 * count)] == list(range(2 * count))
    assert parsed.settings.tenant_quotas_per_s == tuple(n + 0.5 for n in range(2 * count))


@pytest.mark.parametrize("known", [None, {}, [], 5, {"generation": 1, "reset": True, "instances": [{}]}])
def test_configuration_is_valid_without_a_valid_known_list(known: Any) -> None:
    raw_config = json.dumps({**configuration(("127.0.0.1", 9)), "known": known, "seed": "last"})
    parsed = config.parse(raw_config)
    assert parsed.known_list is None and parsed.seed == int.from_bytes(b"last", "big")


def test_configuration_follows_the_rules_of_json() -> None:
    """Members may be in any order; of duplicate members the last one is used."""
    raw_config = configuration(("127.0.0.1", 9), large_list(3))
    text = json.dumps({key: raw_config[key] for key in reversed(raw_config)}, indent=3)
    plain = config.parse(json.dumps(raw_config))
    assert config.parse(text) == plain
    assert config.parse(text[:-1] + ',"known":null}').known_list is None


@pytest.mark.parametrize("known", [None, {}, [], 5, large_list(3), {"instances": [{}], "x": [1]}])
def test_configuration_without_its_known_list_is_otherwise_the_same(known: Any) -> None:
    raw_config = json.dumps({**configuration(("127.0.0.1", 9)), "known": known, "seed": "last"})
    assert config.parse(raw_config, with_known_list=False) == replace(
        config.parse(raw_config), known_list=None
    )


@pytest.mark.parametrize("parties", [None, 5, {}, "x"])
def test_tenants_have_to_be_a_list(parties: Any) -> None:
    raw_config = configuration(("127.0.0.1", 9))
    with pytest.raises(SettingsError):
        config.parse(json.dumps({**raw_config, "settings": settings(parties=parties)}))


@pytest.mark.parametrize(
    "party", [5, None, [], {}, {"name": "x"}, {"quotaPerS": 1.0}, {"x": {"name": "x", "quotaPerS": 1.0}}]
)
def test_tenant_needs_a_name_and_a_quota(party: Any) -> None:
    raw_config = configuration(("127.0.0.1", 9))
    with pytest.raises(SettingsError):
        config.parse(
            json.dumps({**raw_config, "settings": settings(parties=[{"name": "a", "quotaPerS": 1.0}, party])})
        )


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("is_full", [True, False])
def test_usual_head_is_read_without_the_rest(is_full: bool, indent: int | None) -> None:
    text = json.dumps(listing(41, is_full, instance("s0", ("127.0.0.1", 1))), indent=indent)
    assert read_usual_head(text) == (41, is_full)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        '{"reset": true, "generation": 41, "instances": []}',
        '{"generation": "41", "reset": true, "instances": []}',
        '{"generation": -1, "reset": true, "instances": []}',
        '{"generation": 41, "reset": 1, "instances": []}',
        '{"generation": 4.1, "reset": true, "instances": []}',
    ],
)
def test_any_other_head_is_left_to_the_reader(text: str) -> None:
    assert read_usual_head(text) is None


def test_lists_that_add_nothing_are_not_read_to_their_end() -> None:
    """Discovery is silent, and then answers all calls that are still open with the same list."""

    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub, settings=settings_with_drain_grace(HOUR_NS)) as balancer:
            other = await StubLongPollServer().start()
            balancer.switch_discovery(other)
            await wait_until(lambda: len(other.paths) == 3)  # two calls for the full list are overdue
            reader = count_rows(balancer)
            full_list = large_list(3 * ROWS_PER_STEP)
            for _ in range(3):
                other.queue_json(full_list)
            await wait_until(lambda: len(other.paths) == 4)
            await asyncio.sleep(0.1)
            assert reader.rows == len(full_list["instances"])

    run(main())
