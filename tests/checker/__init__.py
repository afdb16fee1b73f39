"""A checker of ownership over many orders of events on a virtual clock."""
