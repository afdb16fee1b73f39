"""Adapter to the users' platform: names, formats and calls, nothing that decides.

The platform says machine for VM, zone for failure domain and instance for a life of an
endpoint. These words stay in this package.
"""
