"""Key ownership: the assignment document and the checks that precede a dispatch."""
