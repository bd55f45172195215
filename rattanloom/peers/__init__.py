"""Membership, heartbeats and request forwarding between entry hosts.

Part of the stand-alone version. Terms of this package:

- member: another entry host, as listed by this one. A *local* host is in this
  host's zone, a *remote* host in another zone.
- incarnation: one run of an entry host's process, with a random identifier. Its
  *key* is a hash of the identifier; heartbeats carry the key. Its *rank* (start
  time, then identifier) orders it among the incarnations of the same host.
- successor: an incarnation of higher rank than the listed one, not yet seen
  alive. It replaces the listed one once it is.
- former incarnation: one that was replaced, confirmed by a direct heartbeat of
  the newer incarnation.
- round: one heartbeat interval, ``heartbeat_ms`` in the settings.
- sequence number: numbers the heartbeats of one incarnation (``beat`` in
  messages); it grows every round, also if none is sent to a given peer.
- direct heartbeat: one received from the member itself. A *relayed* one (``told``
  in messages) is the latest sequence number of a third host, reported by a peer.
- issuer: the incarnation that issued a job's ticket (``home`` in error kinds).
"""
