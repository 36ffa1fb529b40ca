"""Large lists: read in bounded stretches, taken over whole or not at all, and held compactly."""

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
    server_id_of,
    parse_listing,
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

LARGE = 6400
HOUR = 3_600_000_000_000  # nanoseconds: no list is read for so long


def large(count: int = LARGE, generation: int = 2, state: str = "active") -> dict[str, Any]:
    """A whole list, none of whose servers can be reached."""
    rows = (instance(f"l{n}", ("127.0.0.1", 9), state, startedAtMs=n) for n in range(count))
    return listing(generation, True, *rows)


def with_drain_grace(nanoseconds: int) -> dict[str, Any]:
    changed = settings()
    changed["obligations"]["drainGraceNs"] = nanoseconds
    return changed


class CountingReader(ListReader):
    """Counts its rows; `at` is called with the number of each."""

    def __init__(self, zones: tuple[str, ...] = ("a", "b"), kinds: tuple[str, ...] = ("m",)) -> None:
        super().__init__(zones, kinds)
        self.rows = 0
        self.at: dict[int, Any] = {}

    def convert(self, row: ServerRow) -> ListedServer:
        self.rows += 1
        if self.rows in self.at:
            self.at[self.rows]()
        return super().convert(row)


def count_rows(balancer: RunningBalancer) -> CountingReader:
    balancer.reload.discovery.reader = reader = CountingReader()
    return reader


def told_to_the_module(balancer: RunningBalancer) -> list[ServerListUpdate]:
    told: list[ServerListUpdate] = []
    module = balancer.frontend.driver.decision_module
    sound = module.on_list

    def on_list(now: int, update: ServerListUpdate) -> list[Action]:
        told.append(update)
        return sound(now, update)

    module.on_list = on_list  # type: ignore[method-assign]
    return told


# ---- reading ----


def test_the_loop_has_its_turn_after_each_stretch_of_rows() -> None:
    async def main() -> None:
        reader = CountingReader()
        loop = asyncio.get_running_loop()
        rows_at_turn = [0]

        def turn() -> None:
            rows_at_turn.append(reader.rows)
            if reader.rows < LARGE:
                loop.call_soon(turn)

        loop.call_soon(turn)
        got = await reader.read(json.dumps(large()))
        assert len(got.servers) == reader.rows == LARGE
        stretches = [b - a for a, b in zip(rows_at_turn, rows_at_turn[1:], strict=False)]
        assert max(stretches) <= ROWS_PER_STEP and len(stretches) >= LARGE // ROWS_PER_STEP

    run(main())


def test_without_time_for_turns_the_rest_is_read_at_once() -> None:
    async def main() -> None:
        reader = CountingReader()
        loop = asyncio.get_running_loop()
        seen: list[int] = []
        reader.at[1] = lambda: loop.call_soon(lambda: seen.append(reader.rows))
        await reader.read(json.dumps(large()), yield_until=0.0)
        await asyncio.sleep(0)
        assert seen == [LARGE]

    run(main())


def test_a_drain_in_a_large_list_is_honoured_however_long_the_list_is_read() -> None:
    """Requests are served meanwhile, by the old list: no longer than a part of the drain grace."""

    async def main() -> None:
        stub, other = (
            await StubServer(responds_with(http_response())).start(),
            await StubServer(responds_with(http_response())).start(),
        )
        async with running_balancer(
            stub, settings=with_drain_grace(0)
        ) as balancer:  # over before the first row
            reader = count_rows(balancer)
            asking: list[asyncio.Task[Message]] = []
            reader.at[1] = lambda: asking.append(asyncio.create_task(balancer.fetch(http_request())))
            whole = large(10 * ROWS_PER_STEP, state="leaving")
            whole["instances"] += [instance("s0", stub.address, "leaving"), instance("s1", other.address)]
            balancer.discovery.queue_json(whole)
            await wait_until(lambda: bool(asking))
            assert (await asking[0]).body == b"done"
            assert not stub.requests and len(other.requests) == 1

    run(main())


def test_the_first_list_is_read_in_turns_however_long_that_takes() -> None:
    async def main() -> None:
        async with running_balancer(settings=with_drain_grace(0)) as balancer:
            reader = count_rows(balancer)
            seen: list[int] = []
            reader.at[1] = lambda: asyncio.get_running_loop().call_soon(lambda: seen.append(reader.rows))
            balancer.discovery.queue_json(large())
            await wait_until(lambda: len(balancer.frontend.driver.pool.listed_servers) == LARGE)
            assert seen == [ROWS_PER_STEP]

    run(main())


def test_requests_are_served_while_a_large_list_is_read() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub, settings=with_drain_grace(HOUR)) as balancer:
            reader = count_rows(balancer)
            served_at: list[int] = []

            async def ask() -> None:
                await balancer.fetch(http_request())
                served_at.append(reader.rows)

            asking: list[asyncio.Task[None]] = []
            reader.at[1] = lambda: asking.append(asyncio.create_task(ask()))
            balancer.discovery.queue_json(large())
            await wait_until(lambda: bool(served_at))
            assert served_at[0] < LARGE
            await wait_until(lambda: len(balancer.frontend.driver.pool.listed_servers) == LARGE)

    run(main())


SOUND = [
    '{"a":1}',
    "{}",
    ' { "a" : [ ] , "b" : { } , "a" : 2 } ',
    '{"instances":[1 , 2,{"x":[3]}],"instances":[4],"z":null}',
    '{"\\u0061":"\\"}]"}',
]
UNSOUND = [
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


def read_piece_by_piece(text: str) -> dict[str, Any]:
    cursor = JsonCursor(text)
    fields = {}
    for key in cursor.read_keys():
        fields[key] = list(cursor.read_elements()) if cursor.is_at("[") else cursor.read_value()
    cursor.expect_end()
    return fields


@pytest.mark.parametrize("text", SOUND)
def test_piece_by_piece_a_document_reads_as_it_does_at_once(text: str) -> None:
    assert read_piece_by_piece(text) == json.loads(text)


@pytest.mark.parametrize("text", UNSOUND)
def test_piece_by_piece_an_unsound_document_is_as_unsound(text: str) -> None:
    with pytest.raises(ValueError):
        json.loads(text)
    with pytest.raises(ValueError):
        read_piece_by_piece(text)


@pytest.mark.parametrize(
    "order", [("instances", "generation", "reset"), ("reset", "instances", "generation")]
)
def test_the_members_of_a_list_come_in_any_order(order: tuple[str, ...]) -> None:
    whole = large(250, generation=7)
    got = parse_listing(JsonCursor(json.dumps({key: whole[key] for key in order})))
    assert (got.generation, got.is_full, len(got.servers)) == (7, True, 250)


# ---- whole or not at all ----


def test_nothing_is_taken_over_of_a_large_list_with_one_unsound_row() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            told = told_to_the_module(balancer)
            whole = large(10 * ROWS_PER_STEP)
            whole["instances"][-1]["lifecycle"] = "asleep"
            balancer.discovery.queue_json(whole)
            await wait_until(lambda: bool(told))
            assert [update.kind for update in told] == [ListKind.FAILED]
            assert set(balancer.frontend.driver.pool.listed_servers) == {server_id_of("s0")}
            assert (await balancer.fetch(http_request())).body == b"done"

    run(main())


@pytest.mark.parametrize("row", [1, ROWS_PER_STEP, 5 * ROWS_PER_STEP, 10 * ROWS_PER_STEP])
def test_a_list_that_is_overtaken_by_a_move_while_it_is_read_is_not_applied(row: int) -> None:
    """The other discovery's list may be there first: the old one applied after it would undo its news."""

    async def main() -> None:
        stub, other = (
            await StubServer(responds_with(http_response())).start(),
            await StubLongPollServer().start(),
        )
        async with running_balancer(stub, settings=with_drain_grace(HOUR)) as balancer:
            told = told_to_the_module(balancer)
            reader = count_rows(balancer)
            other.queue_json(listing(1, True, instance("s0", stub.address), instance("s1", stub.address)))
            reader.at[row] = lambda: asyncio.get_running_loop().call_soon(balancer.switch_discovery, other)
            # One row beyond a whole number of stretches: the last turn is not yet the end.
            balancer.discovery.queue_json(large(10 * ROWS_PER_STEP + 1, state="leaving"))
            await wait_until(lambda: len(other.paths) == 2)
            assert [(update.kind, len(update.entries)) for update in told] == [(ListKind.FULL, 2)]
            assert set(balancer.frontend.driver.pool.listed_servers) == {
                server_id_of("s0"),
                server_id_of("s1"),
            }
            assert reader.rows <= row + ROWS_PER_STEP + 2  # given up at the next turn

    run(main())


# ---- what is held ----


def tracked_by(build: Any) -> tuple[int, Any]:
    """How many objects the collector has to walk for what this builds, and that itself."""
    gc.collect()
    before = len(gc.get_objects())
    built = build()
    gc.collect()
    return len(gc.get_objects()) - before, built


@pytest.mark.parametrize("count", [100, LARGE])
def test_a_listed_server_takes_two_objects_until_it_is_used(count: int) -> None:
    async def main() -> None:
        pool = Pool(asyncio.get_running_loop(), 10, 1.0, 10.0)
        text = json.dumps(large(count))
        convert = CountingReader().convert
        objects, _ = tracked_by(
            lambda: pool.replace_servers([convert(row) for row in parse_listing(JsonCursor(text)).servers])
        )
        assert objects <= 2 * count + 20
        assert len(pool.listed_servers) == count and not pool.upstreams

    run(main())


def test_servers_of_equal_weight_share_it() -> None:
    text = json.dumps(large(10))
    rows = parse_listing(JsonCursor(text)).servers + parse_listing(JsonCursor(text)).servers
    assert len({id(row.weight) for row in rows}) == 1


def test_a_list_adds_objects_for_its_changed_servers_alone() -> None:
    """The list known from before the start, the agent's whole one, and a whole one again."""

    async def main() -> None:
        first, second = large(100, generation=7), large(101, generation=8)
        second["instances"][5]["lifecycle"] = "leaving"
        async with running_balancer(
            discovery_answers=False, settings=settings(discovery="push"), known=first
        ) as balancer:
            pool = balancer.frontend.driver.pool
            await wait_until(lambda: len(pool.listed_servers) == 100)
            held = {number: id(one) for number, one in pool.listed_servers.items()}
            balancer.discovery.queue_json(second)
            balancer.discovery.queue_json(second)  # the first may go out on a call that was given up
            await wait_until(lambda: len(pool.listed_servers) == 101)
            changed = {number for number, one in pool.listed_servers.items() if held.get(number) != id(one)}
            assert changed == {server_id_of("l5"), server_id_of("l100")}

    run(main())


def test_the_pool_keeps_connection_state_for_used_servers_alone() -> None:
    async def main() -> None:
        stub = await StubServer(responds_with(http_response())).start()
        async with running_balancer(stub) as balancer:
            pool = balancer.frontend.driver.pool
            whole = large(LARGE, state="leaving")
            whole["instances"].append(instance("s0", stub.address))
            balancer.discovery.queue_json(whole)
            await wait_until(lambda: len(pool.listed_servers) == LARGE + 1)
            for n in range(5):
                assert (await balancer.fetch(http_request(request_id=f"r{n}"))).body == b"done"
            assert set(pool.upstreams) == {server_id_of("s0")}
            balancer.discovery.queue_json(listing(3, True, instance("l0", ("127.0.0.1", 9), "leaving")))
            await wait_until(lambda: len(pool.listed_servers) == 1)
            assert not pool.upstreams and stub.closed_connections <= len(stub.writers)

    run(main())


@pytest.mark.parametrize("count", [10, LARGE])
def test_a_configuration_holds_one_object_for_each_known_server_and_none_for_a_tenant(
    count: int, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    parties = [{"name": f"t{n}", "quotaPerS": n + 0.5} for n in range(2 * count)]
    raw = configuration(("127.0.0.1", 9), large(count))
    path.write_text(json.dumps({**raw, "settings": settings(parties=parties)}))
    objects, given = tracked_by(lambda: config.load(str(path)))
    assert objects <= count + 100
    assert len(given.known_list.servers) == count
    assert [given.tenants.index_of(f"t{n}".encode()) for n in range(2 * count)] == list(range(2 * count))
    assert given.settings.tenant_quotas_per_s == tuple(n + 0.5 for n in range(2 * count))


@pytest.mark.parametrize("known", [None, {}, [], 5, {"generation": 1, "reset": True, "instances": [{}]}])
def test_a_configuration_holds_without_a_sound_known_list(known: Any) -> None:
    raw = json.dumps({**configuration(("127.0.0.1", 9)), "known": known, "seed": "last"})
    given = config.parse(raw)
    assert given.known_list is None and given.seed == int.from_bytes(b"last", "big")


def test_the_reading_of_a_configuration_goes_by_json_alone() -> None:
    """Whatever the order of its members; of those that come twice the last one holds."""
    raw = configuration(("127.0.0.1", 9), large(3))
    text = json.dumps({key: raw[key] for key in reversed(raw)}, indent=3)
    plain = config.parse(json.dumps(raw))
    assert config.parse(text) == plain
    assert config.parse(text[:-1] + ',"known":null}').known_list is None


@pytest.mark.parametrize("known", [None, {}, [], 5, large(3), {"instances": [{}], "x": [1]}])
def test_a_configuration_that_is_read_anew_is_the_same_without_its_known_list(known: Any) -> None:
    raw = json.dumps({**configuration(("127.0.0.1", 9)), "known": known, "seed": "last"})
    assert config.parse(raw, with_known_list=False) == replace(config.parse(raw), known_list=None)


@pytest.mark.parametrize("parties", [None, 5, {}, "x"])
def test_tenants_that_are_no_list_are_no_sound_configuration(parties: Any) -> None:
    raw = configuration(("127.0.0.1", 9))
    with pytest.raises(SettingsError):
        config.parse(json.dumps({**raw, "settings": settings(parties=parties)}))


@pytest.mark.parametrize(
    "party", [5, None, [], {}, {"name": "x"}, {"quotaPerS": 1.0}, {"x": {"name": "x", "quotaPerS": 1.0}}]
)
def test_a_tenant_without_its_name_or_share_is_no_sound_configuration(party: Any) -> None:
    raw = configuration(("127.0.0.1", 9))
    with pytest.raises(SettingsError):
        config.parse(
            json.dumps({**raw, "settings": settings(parties=[{"name": "a", "quotaPerS": 1.0}, party])})
        )
