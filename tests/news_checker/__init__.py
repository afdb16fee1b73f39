"""A checker of the way of new settings, on a virtual clock."""
