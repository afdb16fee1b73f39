"""Tools for trials on one machine: a local fleet, load and measurements."""
