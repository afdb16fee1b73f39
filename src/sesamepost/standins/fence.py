"""Fencing checks by which an endpoint refuses work of a replaced owner."""


class Fence:
    """Track the grant and the epochs that a fenced endpoint checks.

    The value of ``Sesamepost-Partition`` is opaque: epochs are compared only among
    requests with the same value.
    """

    def __init__(self) -> None:
        self.epochs: dict[str, int] = {}
        self.incarnation: int | None = None
        self.valid_until_ns = 0
        self.superseded: set[int] = set()

    def grant(self, incarnation: int, valid_until_ns: int) -> bool:
        """Accept a grant and return True.

        Return False if a later incarnation has replaced the daemon that sent it.
        """
        if incarnation in self.superseded:
            return False
        if incarnation != self.incarnation:
            if self.incarnation is not None:
                self.superseded.add(self.incarnation)
            self.incarnation = incarnation
            self.valid_until_ns = 0
        self.valid_until_ns = max(self.valid_until_ns, valid_until_ns)
        return True

    def refusal_reason(self, partition: str, epoch: int, now_ns: int) -> str | None:
        """Return why work under ``epoch`` must not start, or None if it may."""
        if now_ns >= self.valid_until_ns:
            return "no valid grant"
        if epoch < self.epochs.get(partition, 0):
            return f"epoch {epoch} is below {self.epochs[partition]}"
        self.epochs[partition] = epoch
        return None
