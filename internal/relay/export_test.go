package relay

// KnownTerminations returns the number of replica terminations that the gateway has recorded.
func (g *Relay) KnownTerminations() int { return g.suspects.NumTerminations() }

// DelistGrace is how long a replica that has disappeared from the list may still be used.
var DelistGrace = delistGrace
