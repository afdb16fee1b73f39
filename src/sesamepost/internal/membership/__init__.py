"""The fleet document, joining, the choice of witnesses and the tasks around leases."""
