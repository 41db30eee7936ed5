package direct_test

// loadedVersions counts the running replicas by the version that they have loaded.
func (w *world) loadedVersions() map[uint64]int {
	out := map[uint64]int{}
	for _, b := range w.boxes {
		b.mu.Lock()
		if b.engine != nil {
			out[b.engine.LoadedVersion()]++
		}
		b.mu.Unlock()
	}
	return out
}

// ignoringDisconnect returns the replicas that keep running requests whose connection closes.
func (w *world) ignoringDisconnect() (out []string) {
	for _, b := range w.boxes {
		b.mu.Lock()
		if b.engine != nil && b.engine.IgnoresDisconnect {
			out = append(out, b.replica())
		}
		b.mu.Unlock()
	}
	return out
}

// queuedRequests counts the requests that are queued at replicas.
func (w *world) queuedRequests() int {
	n := 0
	for _, b := range w.boxes {
		b.mu.Lock()
		if b.engine != nil {
			n += b.engine.Queued()
		}
		b.mu.Unlock()
	}
	return n
}
