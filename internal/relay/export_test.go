package relay

// KnownEnds returns how many ends of replicas the gateway knows of.
func (g *Relay) KnownEnds() int { return g.suspects.NumTerminations() }
