"""Adapter to the users' platform: its names, formats and calls, but no decisions.

The platform calls a VM a machine, a failure domain a zone, an endpoint a worker and an
incarnation of an endpoint an instance. These words are used only in this package.
"""
