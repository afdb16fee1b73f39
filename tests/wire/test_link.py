"""Tests of the order and the pace of bytes on the link of a node."""

import asyncio
import math
import os

import pytest

from sesamepost.internal.wire.frames import MAX_FRAGMENTS, encode_frames
from sesamepost.internal.wire.link import CONTROL_CLASS, LinkScheduler, class_of_rank
from sesamepost.internal.wire.link_sender import LinkSender
from sesamepost.internal.wire.messages import Answer, Request
from tests.wire.shaped_streams import ShapedLink, connect, run_virtually

NARROW_BYTES_PER_S = 1e6
EXPORT_BYTES = 90_000
LOOKUP_BYTES = 1000
EXPORT_RANK = 2


async def lookup_times(load: float) -> tuple[list[float], float]:
    """Return the times of lookups beside exports, and the share of the link in use."""
    link = ShapedLink(NARROW_BYTES_PER_S, delay_s=0.0005)
    sender = LinkSender(NARROW_BYTES_PER_S)

    def answer(stream, request):
        size = EXPORT_BYTES if request.key == "export" else LOOKUP_BYTES
        reply = Answer(request.id, 200, [], os.urandom(size), False)
        stream.send(reply, link_class=class_of_rank(EXPORT_RANK))

    def call(stream, key):
        call_id, future = stream.new_call()
        request = Request(call_id, "s", key, "GET", "/", [], b"", 1, True, "", "", "")
        stream.send(request)
        return future

    streams = [(await connect(link, sender, answer))[0] for _ in range(10)]
    loop = asyncio.get_running_loop()
    end = loop.time() + 4

    async def export():
        number = 0
        while load and loop.time() < end:
            call(streams[number % len(streams)], "export")
            number += 1
            await asyncio.sleep(EXPORT_BYTES / NARROW_BYTES_PER_S / load)

    exports = asyncio.ensure_future(export())
    await asyncio.sleep(1)
    carried_before = link.carried_bytes
    times = []
    while loop.time() < end:
        started = loop.time()
        await call(streams[len(times) % len(streams)], "lookup")
        times.append(loop.time() - started)
        await asyncio.sleep(0.0137)
    exports.cancel()
    carried = link.carried_bytes - carried_before
    return times, carried / NARROW_BYTES_PER_S / (loop.time() - end + 3)


@pytest.mark.parametrize("load", [1.2, 3.0])
def test_a_lookup_beside_exports_takes_at_most_three_times_its_time_alone(load):
    # Guards against lookups that wait behind the exports of all streams: the link of
    # 8 Mbit/s is offered more than it carries.
    alone, _ = run_virtually(lookup_times(0))
    beside, used = run_virtually(lookup_times(load))
    print(f"alone {max(alone) * 1e3:.2f} ms, {load}: {max(beside) * 1e3:.2f} ms")
    assert len(beside) > 100
    assert max(beside) <= 3 * min(alone)
    assert used > 0.85


def scheduler_with(*messages, rate=NARROW_BYTES_PER_S) -> LinkScheduler:
    scheduler = LinkScheduler(rate)
    for sender, link_class, frames in messages:
        scheduler.add(sender, link_class, frames, 0.0)
    return scheduler


def pop_all(scheduler, is_writable=lambda sender: True) -> list[bytes]:
    frames = []
    now = max(0.0, scheduler.refilled_at) + 1.0
    while (entry := scheduler.pop(now, is_writable)) is not None:
        frames.append(entry[1])
        scheduler.note_written(len(entry[1]), now, len(entry[1]))
        now += scheduler.delay_s(now) + 1e-6
    return frames


def test_classes_are_in_order_and_short_messages_go_first_within_one():
    # Guards against an export of megabytes that delays more urgent or short answers.
    scheduler = scheduler_with(
        ("a", class_of_rank(2), [b"x" * 9000] * 50),
        ("a", class_of_rank(0), [b"urgent"] * 2),
        ("b", class_of_rank(2), [b"short"] * 2),
        ("b", CONTROL_CLASS, [b"control"]),
    )
    frames = pop_all(scheduler)
    expected = [b"control", b"urgent", b"urgent", b"short", b"short"]
    assert frames[:5] == expected
    assert len(frames) == 55
    assert not scheduler.has_bulk()


def test_a_stream_whose_peer_does_not_read_holds_up_no_other():
    scheduler = scheduler_with(("slow", 1, [b"s"] * 3), ("b", 1, [b"b"] * 3))
    assert pop_all(scheduler, lambda sender: sender != "slow") == [b"b"] * 3
    scheduler.add("slow", 0, [b"more"], 0.0)
    assert scheduler.total_bytes == scheduler.queued_of("slow") == 7
    scheduler.unblock(lambda sender: True)
    assert pop_all(scheduler) == [b"more", b"s", b"s", b"s"]


def test_a_closed_stream_frees_its_share():
    scheduler = scheduler_with(("a", 1, [b"a" * 500]), ("b", 2, [b"b" * 500] * 2))
    pop_all(scheduler, lambda sender: sender == "b")
    scheduler.drop("a")
    scheduler.drop("unknown")
    assert not scheduler.has_bulk()
    assert scheduler.time_to_pass(0, 7, 100.0) == 0


def test_a_cancelled_message_leaves_the_queue_unless_a_part_is_written():
    # Guards against a link that is full of answers to callers who have left.
    scheduler = LinkScheduler(NARROW_BYTES_PER_S)
    first, second, third = (
        scheduler.add(sender, 1, [b"x" * 3000] * 2, 0.0) for sender in ("a", "a", "b")
    )
    assert scheduler.pop(0.0, lambda sender: True)[0] == "a"
    pop_all(scheduler, lambda sender: False)
    assert not scheduler.cancel(first)
    assert scheduler.cancel(second)
    assert not scheduler.cancel(second)
    assert scheduler.total_bytes == 9000
    assert scheduler.cancel(third)
    scheduler.add("b", 1, [b"next"], 0.0)
    assert pop_all(scheduler) == [b"next"]
    scheduler.drop("b")
    scheduler.unblock(lambda sender: True)
    assert len(pop_all(scheduler)) == 1


def test_small_messages_leave_a_debt_that_bulk_data_waits_for():
    scheduler = scheduler_with(("a", 1, [b"a" * 3000]))
    scheduler.note_written(50_000, 0.0)
    assert scheduler.pop(0.0, lambda sender: True) is None
    assert scheduler.pop(0.1, lambda sender: True) is not None


def test_time_to_pass_ignores_bytes_that_would_be_overtaken():
    scheduler = scheduler_with(("a", 1, [b"a" * 92_000]), ("b", 3, [b"b" * 920_000]))
    assert scheduler.time_to_pass(0, 1, 0.0) == pytest.approx(0.1)
    assert scheduler.time_to_pass(92_000, 3, 0.0) == pytest.approx(1.2)


@pytest.mark.parametrize("rate", [math.inf, 125e6, 0.0, -1.0, math.nan])
def test_wide_and_unknown_links_are_not_paced(rate):
    # Guards against deployments on wide links that are served more slowly, and against
    # nodes that do not start because of an odd rate in their settings.
    scheduler = scheduler_with(("a", 1, [b"a" * 65536] * 100), rate=rate)
    assert all(scheduler.pop(0.0, lambda sender: True) for _ in range(100))
    assert scheduler.time_to_pass(1e9, 7, 0.0) == 0
    assert scheduler.fragment_bytes == 65536


@pytest.mark.parametrize("size", [5000, 500_000, 9_000_000])
def test_no_message_has_more_fragments_than_the_receiver_accepts(size):
    assert 1 < len(encode_frames(bytes(size), 1, 2048)) <= MAX_FRAGMENTS


def test_streams_are_not_writable_while_all_together_hold_too_much():
    # Guards against dozens of streams that each stay below a limit of their own.
    async def main():
        link = ShapedLink(NARROW_BYTES_PER_S, 0.0)
        sender = LinkSender(NARROW_BYTES_PER_S, memory_bytes=200_000)
        streams = [await connect(link, sender, None) for _ in range(3)]
        for near, far in streams:
            near.on_message = lambda stream, item: None
            far.send(
                Request(1, "s", "", "", "", [], bytes(90_000), 1, True, "", "", "")
            )
        far = streams[-1][1]
        assert not far.writable.is_set()
        await asyncio.wait_for(far.writable.wait(), 1)
        far.close("test")
        assert sender.scheduler.queued_of(far) == 0

    run_virtually(main())
