"""Check the stated targets that do not depend on the speed of the computer.

Sizes are those of the actual encoding at the design size.
"""

from sesamepost.tools.capacity import design_size, messages
from sesamepost.tools.capacity.design_size import (
    MAX_CONTROL_BYTES_PER_S,
    MAX_DOCUMENT_BYTES,
    NODES,
    PARTITIONS,
)


def test_leases_and_reports_of_a_node_stay_below_the_control_budget():
    sent = messages.renewal_bytes_per_s() + messages.report_bytes_per_s()
    received = messages.renewal_bytes_per_s()

    assert sent + received < MAX_CONTROL_BYTES_PER_S


def test_the_busiest_witness_stays_below_the_control_budget():
    # Guards against a choice of witnesses that selects a few nodes for the whole fleet.
    exchange_bytes = messages.encoded_bytes(
        messages.renewal()
    ) + messages.encoded_bytes(messages.renewal_answer())
    exchanges = messages.max_holders_per_witness() + messages.WITNESSES

    assert (
        exchanges * exchange_bytes / messages.RENEW_INTERVAL_S < MAX_CONTROL_BYTES_PER_S
    )


def test_documents_of_the_design_size_are_below_the_limit_of_the_store():
    documents = design_size.build_documents()
    documents["assignment/every-node"] = design_size.build_assignment(
        PARTITIONS, NODES, 64
    ).encode()

    sizes = {name: len(body) for name, body in documents.items()}

    assert len(sizes) == 36
    assert max(sizes.values()) < MAX_DOCUMENT_BYTES, sizes


def test_the_fleet_document_with_an_hour_of_fenced_nodes_is_below_the_limit():
    # In the worst hour, every node of the design size is replaced once.
    fleet = design_size.build_fleet(2 * NODES)
    for number in range(NODES):
        fleet = fleet.fence(design_size.node_id(number), 1_700_000_000)

    assert len(fleet.encode()) < MAX_DOCUMENT_BYTES


def test_the_controller_receives_at_most_fifty_reports_a_second():
    interval_s = messages.report_interval_s(NODES)

    assert NODES / interval_s <= 50


def test_the_delta_of_a_move_hardly_grows_with_the_assignment():
    small, _ = messages.pushes_after_move(256)
    large, whole = messages.pushes_after_move(4096)

    assert messages.encoded_bytes(large) <= messages.encoded_bytes(small) + 8
    assert messages.encoded_bytes(large) < messages.encoded_bytes(whole) / 20
