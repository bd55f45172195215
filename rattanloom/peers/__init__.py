"""The other entry hosts: membership, forwarding and configuration exchange."""
