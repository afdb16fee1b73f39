"""Who owns which key: the assignment document and the right to serve."""
