"""Entry point of ``python -m sesamepost.tools.capacity``."""

from sesamepost.tools.capacity.command import main

main()
