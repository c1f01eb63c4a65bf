"""Stand-in for the platform's store: objects by kind and name over HTTP/1.1,
linearizable, with one revision counter, lists, watches and conditions."""

import asyncio
import json
import time
import urllib.parse

PAGE = 500


class Store:
    def __init__(self, record, answer_ms=4, history_s=20):
        self.record = record
        self.answer_s = answer_ms / 1000
        self.history_s = history_s
        self.rev = 100
        self.kinds = {}
        self.events = []        # (time, rev, kind, deleted, object)
        self.forgotten = 100    # revisions up to this one are not watchable
        self.changed = asyncio.Event()
        self.writers = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    def _change(self, kind, item, deleted=False):
        self.rev += 1
        item["meta"]["rev"] = self.rev
        copy = json.loads(json.dumps(item))
        self.events.append((time.monotonic(), self.rev, kind, deleted, copy))
        while self.events and \
                self.events[0][0] < time.monotonic() - self.history_s:
            self.forgotten = self.events.pop(0)[1]
        done, self.changed = self.changed, asyncio.Event()
        done.set()

    def put(self, kind, name, spec):
        """What the operator writes; the return is the acknowledgement."""
        items = self.kinds.setdefault(kind, {})
        if name not in items:
            items[name] = {"meta": {"name": name, "rev": 0,
                                    "created": int(time.time() * 1000),
                                    "finalizers": [], "deleting": False},
                           "spec": None, "status": None}
        if items[name]["spec"] != spec:
            items[name]["spec"] = spec
            self._change(kind, items[name])
        self.record("operator puts %s/%s rev=%d", kind, name, self.rev)

    def delete(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name)
        self._change(kind, item, deleted=True)
        self.record("operator deletes %s/%s rev=%d", kind, name, self.rev)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {k.strip().lower(): v.strip() for k, v in
                   (x.split(":", 1) for x in lines[1:] if ":" in x)}
        size = int(headers.get("content-length", 0))
        body = await reader.readexactly(size) if size else b""
        await asyncio.sleep(self.answer_s)
        code, answer = await self.handle(method, target, body)
        out = json.dumps(answer, separators=(",", ":")).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n" % (code, len(out)) + out)
        await writer.drain()
        return headers.get("connection", "").lower() != "close"

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split("/") if p]
        if parts[:2] != ["-", "objects"] or len(parts) < 3:
            return 404, {"error": "no such path"}
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        items = self.kinds.setdefault(kind, {})
        if method == "GET" and not name and "watch" in query:
            return await self.watch(kind, query)
        if method == "GET" and not name:
            return 200, self.list(items, query.get("after", ""))
        if method == "GET":
            return (200, items[name]) if name in items else \
                (404, {"error": "none"})
        return self.write(method, kind, items, name, parts, query, body)

    def list(self, items, after):
        names = sorted(n for n in items if n > after)
        return {"items": [items[n] for n in names[:PAGE]],
                "has_more": len(names) > PAGE, "current_rev": self.rev}

    async def watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1e3
        while True:
            if since < self.forgotten:
                return 410, {"error": "history is gone"}
            events = [{"deleted": d, "object": o}
                      for _, r, k, d, o in self.events
                      if k == kind and r > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, method, kind, items, name, parts, query, body):
        value = json.loads(body) if body else {}
        meta = value.get("meta") or {}
        rev = meta.get("rev", int(query["rev"]) if "rev" in query else None)
        if method == "POST":
            name = meta["name"]
            if name in items:
                return 409, items[name]
            items[name] = {"meta": {"name": name, "rev": 0,
                                    "created": int(time.time() * 1000),
                                    "finalizers": meta.get("finalizers", []),
                                    "deleting": False},
                           "spec": value.get("spec"), "status": None}
            self._change(kind, items[name])
            return 200, items[name]
        if name not in items:
            return 404, {"error": "none"}
        item = items[name]
        if rev is not None and rev != item["meta"]["rev"]:
            return 409, item
        if method == "DELETE":
            del items[name]
            self._change(kind, item, deleted=True)
            return 200, item
        field = "status" if len(parts) > 4 else "spec"
        if item[field] != value.get(field):
            item[field] = value.get(field)
            self._change(kind, item)
        return 200, item
