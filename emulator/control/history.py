"""The settings versions that a control machine or an agent holds, served by long poll."""

from __future__ import annotations

import asyncio

from emulator.control.http_server import HttpRequest, HttpResponse, query_int

MAX_LONG_POLL_MS = 60_000


def encode_document(version: int, settings: str | None = None) -> bytes:
    """Return a settings document; without settings if no version matches the query."""
    if settings is None:
        return b'{"version":%d}' % version
    return b'{"version":%d,"settings":%s}' % (version, settings.encode())


class SettingsHistory:
    """Settings by version; after a version has been served as the newest, no older one is."""

    def __init__(self) -> None:
        self.settings_by_version: dict[int, str] = {}  # as JSON
        self.newest_version = 0
        self.new_version_event = asyncio.Event()  # replaced with each new version

    def add(self, version: int, settings: str) -> None:
        """Add a version; one that is already there keeps its settings."""
        self.settings_by_version.setdefault(version, settings)
        if version > self.newest_version:
            self.newest_version = version
            previous_event, self.new_version_event = self.new_version_event, asyncio.Event()
            previous_event.set()

    async def respond(self, request: HttpRequest) -> HttpResponse:
        """Respond to `GET /v1/settings`, after the long poll that the query requests if nothing is new."""
        if "before" in request.query:
            return HttpResponse(self._newest_before(query_int(request, "before", 0)))
        known_version = query_int(request, "from", 0)
        hold_s = min(query_int(request, "hold_ms", 0), MAX_LONG_POLL_MS) / 1000
        if self.newest_version <= known_version and hold_s:
            await self._wait_for_new_version(hold_s)
        if self.newest_version <= known_version:
            return HttpResponse(encode_document(self.newest_version))
        return HttpResponse(
            encode_document(self.newest_version, self.settings_by_version[self.newest_version])
        )

    def _newest_before(self, version: int) -> bytes:
        older = max((held for held in self.settings_by_version if held < version), default=0)
        return encode_document(older, self.settings_by_version.get(older))

    async def _wait_for_new_version(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self.new_version_event.wait()
        except TimeoutError:
            return
