"""Load measurement and placement decisions."""
