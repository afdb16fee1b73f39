"""Logging never blocks, and the rate of request lines is limited."""

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


def test_a_stalled_reader_does_not_block_the_writer(pipe):
    # Guards against requests that wait for the log, and lines that are dropped without
    # notice.
    reader, writer = pipe
    output = NonBlockingOutput(writer)
    for _ in range(5000):
        output.write("x" * 100 + "\n")
    assert output.dropped > 0
    output_bytes = os.read(reader, 1 << 20)
    output.write("after\n")
    output_bytes += os.read(reader, 1 << 20)
    lines = output_bytes.decode().splitlines()
    assert lines[-1] == "after"
    assert '"log_lines_dropped"' in lines[-2]
    assert set(lines[:-2]) == {"x" * 100}


def test_request_lines_are_rate_limited_and_count_what_was_dropped():
    # Guards against logs that grow with the request rate.
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


def test_state_changes_are_not_rate_limited():
    # Guards against losing rare but important events to the limit on request lines.
    limit = RequestLineLimit(0.0)
    assert limit(None, "info", {"event": "node_changed"}) == {"event": "node_changed"}
