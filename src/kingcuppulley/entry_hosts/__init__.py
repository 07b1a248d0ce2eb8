"""Meet the other entry hosts: membership, hand-over, slot leases and claims."""
