"""Tools for experiments on one machine: a local fleet, load and measurements."""
