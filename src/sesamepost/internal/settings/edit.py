"""Change a single setting in a branch's text and keep the rest unchanged."""

from sesamepost.internal.settings.model import VmState


def set_vm_state(text: str, vm: str, state: VmState) -> str:
    """Return ``text`` with ``[vm:NAME] state`` set; comments and order are kept.

    ``text`` must be a valid branch.
    """
    newline = "\r\n" if "\r\n" in text else "\n"
    lines = text.split("\n")
    entry = f"state = {state}" + newline.removesuffix("\n")
    header = _find_header(lines, vm)
    if header is None:
        separator = newline if text and not text.endswith("\n") else ""
        return f"{text}{separator}{newline}[vm:{vm}]{newline}state = {state}{newline}"
    for number in range(header + 1, len(lines)):
        content = lines[number].strip()
        if content.startswith("["):
            break
        if content.partition("=")[0].strip() == "state":
            lines[number] = entry
            return "\n".join(lines)
    if header == len(lines) - 1:
        return text + newline + f"state = {state}" + newline
    lines.insert(header + 1, entry)
    return "\n".join(lines)


def _find_header(lines: list[str], vm: str) -> int | None:
    for number, line in enumerate(lines):
        content = line.strip().removeprefix("\ufeff")
        if content.startswith("[") and content[1:-1].strip() == f"vm:{vm}":
            return number
    return None
