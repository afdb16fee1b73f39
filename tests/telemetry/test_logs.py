"""Logs stay bounded and never wait for their reader."""

import os

import pytest
import structlog

from sesamepost.internal.telemetry.logs import NonBlockingOutput, RequestLineLimit


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_a_reader_that_stopped_does_not_block_the_writer(pipe):
    reader, writer = pipe
    output = NonBlockingOutput(writer)
    for _ in range(5000):
        output.write("x" * 100 + "\n")
    assert output.dropped > 0
    seen = os.read(reader, 1 << 20)
    output.write("after\n")
    seen += os.read(reader, 1 << 20)
    lines = seen.decode().splitlines()
    assert lines[-1] == "after"
    assert '"log_lines_dropped"' in lines[-2]
    assert set(lines[:-2]) == {"x" * 100}


def test_lines_of_requests_keep_to_their_rate_and_say_what_is_missing():
    now = [0.0]
    limit = RequestLineLimit(2.0, clock=lambda: now[0])
    kept = []
    for _ in range(5):
        try:
            kept.append(limit(None, "info", {"event": "request"}))
        except structlog.DropEvent:
            continue
    assert len(kept) == 2
    now[0] = 1.0
    assert limit(None, "info", {"event": "request"})["left_out_before"] == 3


def test_changes_of_state_are_always_written():
    limit = RequestLineLimit(0.0)
    assert limit(None, "info", {"event": "node_changed"}) == {"event": "node_changed"}
