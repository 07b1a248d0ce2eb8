"""Keep what operators accept: durable on a quorum, in force everywhere, for good."""
