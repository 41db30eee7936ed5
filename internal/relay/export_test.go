package relay

// KnownTerminations returns the number of replica terminations that the gateway has recorded.
func (g *Relay) KnownTerminations() int { return g.suspects.NumTerminations() }
