package direct_test

// holding counts replicas by the version that they hold.
func (w *world) holding() map[uint64]int {
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

// deaf returns the replicas that go on with requests whose connection closes.
func (w *world) deaf() (out []string) {
	for _, b := range w.boxes {
		b.mu.Lock()
		if b.engine != nil && b.engine.IgnoresDisconnect {
			out = append(out, b.replica())
		}
		b.mu.Unlock()
	}
	return out
}

// queued counts the requests that wait at replicas.
func (w *world) queued() int {
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
