"""Statuses of endpoints' answers."""

FIRST_FINAL_STATUS = 200
LAST_STATUS = 599


def is_final_status(status: int) -> bool:
    """Return whether a status can be that of a final answer in HTTP.

    A broken endpoint may send others, such as 000. What it did is unknown then.
    """
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS
