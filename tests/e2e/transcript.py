"""A reproducible transcript of what callers and operators see."""

import json
import re
from collections import Counter, defaultdict
from contextlib import contextmanager

from structlog.contextvars import bound_contextvars, merge_contextvars
from structlog.testing import capture_logs

NODE = re.compile(r"[\w-]+@[0-9a-f]{16}")
ADDRESS = re.compile(r"127\.0\.0\.1:\d+|'127\.0\.0\.1', \d+|port=\d+")
# The number of versions of these depends on how simultaneous requests are batched.
BATCHED_DOCUMENTS = ("fleet", "assignment/ledger", "controller")
BATCHED_EVENTS = ("fleet_written", "assignment_written")
ELECTION_EVENT = "controller_elected"


class Placeholders:
    """Replaces values that differ between runs by numbered placeholders."""

    def __init__(self):
        self.assigned = defaultdict(dict)

    def placeholder(self, kind, value):
        known = self.assigned[kind]
        return known.setdefault(value, f"{kind}-{len(known) + 1}")

    def replace(self, text):
        text = NODE.sub(lambda match: self.placeholder("NODE", match[0]), text)
        return ADDRESS.sub(lambda match: self.placeholder("ADDRESS", match[0]), text)


class Transcript:
    """The steps of a session; a step's log entries are added when it ends."""

    def __init__(self, fleet, entries):
        self.fleet = fleet
        self.entries = entries
        self.lines = []
        self.placeholders = Placeholders()
        self.epochs = {}
        self.versions = {}

    def __str__(self):
        return "\n".join(self.lines)

    @contextmanager
    def step(self, title):
        self.lines.append(f"== {title}")
        del self.entries[:]
        yield
        self._add_logs()

    def add(self, text):
        self.lines.append(f"  {self.placeholders.replace(text)}")

    async def send(self, vm, key, note="", method="POST", **headers):
        """Send a request and add everything that its caller sees."""
        reply = await self.fleet.send(vm, key, method=method, **headers)
        sent = {name: value for name, value in headers.items() if name != "bytes"}
        if "Sesamepost_Born" in sent:
            sent["Sesamepost_Born"] = self._mask_token(sent["Sesamepost_Born"])
        shown = {
            "service": sent.pop("Sesamepost_Service", "ledger"),
            "key": key,
            **{name.removeprefix("Sesamepost_"): v for name, v in sent.items()},
        }
        self.add(
            f"{method} to {vm.daemon.node.vm} {_format_fields(shown)} {note}".rstrip()
        )
        self.add(f"  -> {_format_fields(self._answer(key, reply))}")
        return reply

    def _answer(self, key, reply):
        shown = {"status": reply.status, "kind": reply.kind, "outcome": reply.outcome}
        if "Sesamepost-Replayed" in reply.headers:
            shown["replayed"] = reply.headers["Sesamepost-Replayed"]
        if "Sesamepost-Born" in reply.headers:
            shown["token"] = self._mask_token(reply.headers["Sesamepost-Born"])
        if reply.kind:
            return {**shown, "text": reply.body.decode().strip()}
        body = json.loads(reply.body)
        body["epoch"] = self._compare_epoch(key, body["epoch"])
        return {**shown, **body, "owner": self.fleet.owner_vm(key).daemon.node.vm}

    def _mask_token(self, token):
        return "issued" if re.fullmatch(r"\d+-\d+", token) else token

    def _compare_epoch(self, key, epoch):
        """Return how an epoch compares with that of the key's previous answer."""
        previous = self.epochs.get(key)
        self.epochs[key] = epoch
        if previous is None:
            return "first"
        assert epoch >= previous, f"the epoch of {key} fell from {previous} to {epoch}"
        return "same" if epoch == previous else "higher"

    async def status(self, vms):
        """Add ``/status``, which must be identical on all ``vms``."""
        shown = [await self._status_lines(vm) for vm in vms]
        assert all(item == shown[0] for item in shown), shown
        names = ",".join(vm.daemon.node.vm for vm in vms)
        self.add(f"status of {names}")
        for line in shown[0]:
            self.add(f"  {line}")
        versions = json.loads(json.dumps(vms[0].daemon.views.in_force))
        self.versions.update(versions)

    async def _status_lines(self, vm):
        async with self.fleet.session.get(f"{vm.operators}/status") as answer:
            status = await answer.json()
        controller = status["controller"]
        live = [item["node"] for item in status["fleet"] if item["state"] == "active"]
        lines = [
            f"{item['node']} {item['address']} {item['failure_domain']}"
            f" {item['region']} {item['state']}"
            for item in status["fleet"]
        ]
        lines.append(f"controller: {'live' if controller in live else 'not live'}")
        for name, version in sorted(status["documents"].items()):
            lines.append(f"document {name}: {self._compare_version(name, version)}")
        lines.append(f"rejected: {status['rejected']} waiting: {status['waiting']}")
        lines.append(f"services: {status['services']}")
        lines += self._ownership_lines(vm)
        return lines

    def _compare_version(self, name, version):
        if name not in BATCHED_DOCUMENTS:
            return version
        previous = self.versions.get(name)
        if previous is None:
            return "first"
        assert version >= previous, f"{name} fell from {previous} to {version}"
        return "same" if version == previous else "higher"

    def _ownership_lines(self, vm):
        view = vm.daemon.views.assignments["ledger"]
        owned = defaultdict(list)
        for partition in range(len(view)):
            owned[view.owner_of_partition(partition).vm].append(partition)
        return [f"{vm} owns {owned[vm]}" for vm in sorted(owned)]

    def _add_logs(self):
        """Add the log entries, ordered by VM and then by event.

        The writes of a step have a deterministic combined effect, but how it is split
        among them is not deterministic, so their effects are merged.
        """
        batches = {event: Batch() for event in BATCHED_EVENTS}
        lines = Counter()
        for entry in self.entries:
            fields = dict(entry)
            event, vm = fields.pop("event"), fields.pop("vm", "-")
            fields.pop("log_level")
            if event in batches:
                batches[event].add(fields)
                continue
            if event == "store_followed":
                fields.pop("revision")
            if event == ELECTION_EVENT:
                # Which candidate wins the race for the lease is not deterministic.
                vm, fields["node"] = "any", "any"
            lines[f"log {vm} {event} {_format_fields(fields)}".rstrip()] += 1
        for line, count in sorted(lines.items()):
            self.add(line if count == 1 else f"{line} x{count}")
        for event, batch in batches.items():
            if batch.fields:
                self.add(f"log controller {event} {_format_fields(batch.fields)}")


class Batch:
    """The merged effects of all writes of one kind in a step."""

    def __init__(self):
        self.fields = {}

    def add(self, fields):
        for name, value in fields.items():
            if name == "version":
                continue
            if isinstance(value, list):
                merged = set(self.fields.get(name, [])) | set(value)
                self.fields[name] = sorted(merged)
            elif isinstance(value, int):
                self.fields[name] = self.fields.get(name, 0) + value
            else:
                self.fields[name] = value


@contextmanager
def recorded_logs():
    """Capture log entries, each with the VM whose daemon wrote it."""
    with capture_logs(processors=[merge_contextvars]) as entries:
        yield entries


def bind_vm(name):
    """Add the VM to the log entries of all tasks that are started in the context."""
    return bound_contextvars(vm=name)


def _format_fields(fields):
    return " ".join(f"{name}={value}" for name, value in fields.items() if value != "")
