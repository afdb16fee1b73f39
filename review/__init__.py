"""Cases of an independent review; they are not part of the test suite."""
