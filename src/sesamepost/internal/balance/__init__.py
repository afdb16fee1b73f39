"""Load measurement and placement of partitions and hot keys."""
