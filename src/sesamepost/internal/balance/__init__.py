"""Load measurement and balancing of partitions and hot keys."""
