package direct_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// fault is a failure that is injected at a set time of a run. inject may block until the failure
// is over.
type fault struct {
	at          time.Duration
	description string
	inject      func(w *world)
}

// connectionKinds are the kinds of connections that a fault can hit, by their dialer (from) and
// listener (to).
var connectionKinds = []struct {
	description string
	matches     func(from, to string) bool
}{
	{"gateways to replicas", func(from, to string) bool { return isGateway(from) && isReplica(to) }},
	{"between gateways", func(from, to string) bool { return isGateway(from) && isGateway(to) }},
	{"agents to gateways", func(from, to string) bool { return isAgent(from) && isGateway(to) }},
	{"between agents", func(from, to string) bool { return isAgent(from) && isAgent(to) }},
	{"to the store", func(_, to string) bool { return to == storeAddr }},
	{"all but agents to replicas", func(from, to string) bool { return !(isAgent(from) && isReplica(to)) }},
	{"all", func(string, string) bool { return true }},
}

// drawFaults draws some faults at any time before the given one, and for most target changes up
// to four more that may overlap, from 2 s before the change until the deadline of the older version.
func drawFaults(r *rand.Rand, targetChanges []time.Duration, before time.Duration) []fault {
	const first = 3 * time.Second
	var out []fault
	for range 1 + r.IntN(5) {
		out = append(out, drawFault(r, between(r, first, before)))
	}
	for _, at := range targetChanges {
		if r.IntN(3) == 0 {
			continue
		}
		for range 1 + r.IntN(4) {
			out = append(out, drawFault(r, at+between(r, -2*time.Second, versionWithin)))
		}
	}
	slices.SortFunc(out, func(a, b fault) int { return int(a.at - b.at) })
	return out
}

func drawFault(r *rand.Rand, at time.Duration) fault {
	kinds := []func(r *rand.Rand) (string, func(w *world)){
		connectionSilence, connectionSilence, connectionSilence, connectionSilence, connectionReset, gatewayRestart, agentRestart, gatewayIsolation, agentIsolation,
		replicaCrash, replicaCrash, replicaSlowdown, replicaSlowdown, originOutage, originOutage, storeOutage,
	}
	description, inject := kinds[r.IntN(len(kinds))](r)
	return fault{at: at, description: description, inject: inject}
}

func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// between draws a duration from least up to most.
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + randomDuration(r, most-least)
}

// drawConnections draws a kind of connections and a share of them. selects draws for each
// connection of that kind whether it is part of the share.
func drawConnections(r *rand.Rand) (description string, selects func(from, to string) bool) {
	kind := connectionKinds[r.IntN(len(connectionKinds))]
	share := []float64{1, 1, 0.5, 0.2}[r.IntN(4)]
	draws := rand.New(rand.NewPCG(r.Uint64(), 0))
	return fmt.Sprintf("%s, %v of them", kind.description, share), func(from, to string) bool { return kind.matches(from, to) && draws.Float64() < share }
}

// connectionSilence makes open connections lose what is sent on them, in one direction or both.
// The checker counts it as a disturbance of all machines.
func connectionSilence(r *rand.Rand) (string, func(w *world)) {
	description, selects := drawConnections(r)
	direction := r.IntN(4)
	return fmt.Sprintf("silence %d %s", direction, description), func(w *world) {
		w.disturbAllMachines()
		switch direction {
		case 0:
			w.net.SilenceFromDialer(selects)
		case 1:
			w.net.SilenceToDialer(selects)
		default:
			w.net.Silence(selects)
		}
	}
}

func connectionReset(r *rand.Rand) (string, func(w *world)) {
	description, selects := drawConnections(r)
	return "reset " + description, func(w *world) {
		w.disturbAllMachines()
		w.net.Reset(selects)
	}
}

// disturbAllMachines records a momentary disturbance of all machines.
func (w *world) disturbAllMachines() {
	for _, g := range w.gateways {
		w.checker.disturbMachine(g.addr)()
	}
}

func gatewayRestart(r *rand.Rand) (string, func(w *world)) {
	n, downtime := r.IntN(halls*gatewaysPerHall), between(r, 100*time.Millisecond, 4*time.Second)
	return fmt.Sprintf("gateway %d down for %v", n, downtime), func(w *world) {
		g := w.gateways[n]
		defer w.checker.disturbMachine(g.addr)()
		w.killGateway(g)
		if w.sleep(downtime) {
			w.startGateway(g)
		}
	}
}

func agentRestart(r *rand.Rand) (string, func(w *world)) {
	n, downtime := r.IntN(halls*boxesPerHall), between(r, 100*time.Millisecond, 6*time.Second)
	return fmt.Sprintf("agent %d down for %v", n, downtime), func(w *world) {
		b := w.boxes[n]
		w.killAgent(b)
		w.sleep(downtime)
		w.startAgent(b)
	}
}

func gatewayIsolation(r *rand.Rand) (string, func(w *world)) {
	n, isolated := r.IntN(halls*gatewaysPerHall), between(r, 300*time.Millisecond, 5*time.Second)
	return fmt.Sprintf("gateway %d isolated for %v", n, isolated), func(w *world) {
		defer w.checker.disturbMachine(w.gateways[n].addr)()
		defer w.checker.beginOutage(w.gateways[n].addr)()
		w.isolateFor(w.gateways[n].addr, isolated)
	}
}

func agentIsolation(r *rand.Rand) (string, func(w *world)) {
	n, isolated := r.IntN(halls*boxesPerHall), between(r, 300*time.Millisecond, 9*time.Second)
	return fmt.Sprintf("agent %d isolated for %v", n, isolated), func(w *world) {
		defer w.checker.beginOutage(w.boxes[n].agent())()
		w.isolateFor(w.boxes[n].agent(), isolated)
	}
}

// isolateFor stalls all links of a process for a duration.
func (w *world) isolateFor(name string, d time.Duration) {
	w.isolate(name, true)
	w.sleep(d)
	w.isolate(name, false)
}

func replicaCrash(r *rand.Rand) (string, func(w *world)) {
	n, downtime := r.IntN(halls*boxesPerHall), between(r, 100*time.Millisecond, 5*time.Second)
	return fmt.Sprintf("replica %d crashed for %v", n, downtime), func(w *world) {
		e := w.crash(w.boxes[n])
		if e != nil && w.sleep(downtime) {
			w.addEngine(w.boxes[n], e)
		}
	}
}

func replicaSlowdown(r *rand.Rand) (string, func(w *world)) {
	n, factor, slowFor := r.IntN(halls*boxesPerHall), 2+6*r.Float64(), between(r, time.Second, 8*time.Second)
	return fmt.Sprintf("replica %d slowed down by a factor of %.1f for %v", n, factor, slowFor), func(w *world) {
		b := w.boxes[n]
		b.mu.Lock()
		e := b.engine
		b.mu.Unlock()
		if e == nil {
			return
		}
		e.SetSlowdown(factor)
		w.sleep(slowFor)
		e.SetSlowdown(1)
	}
}

func originOutage(r *rand.Rand) (string, func(w *world)) {
	outage := between(r, 2*time.Second, 12*time.Second)
	return fmt.Sprintf("origin down for %v", outage), func(w *world) {
		w.net.Remove(originAddr)
		if w.sleep(outage) {
			w.addOrigin()
		}
	}
}

func storeOutage(r *rand.Rand) (string, func(w *world)) {
	outage, refuses := between(r, 500*time.Millisecond, 6*time.Second), r.IntN(2) == 0
	return fmt.Sprintf("store down for %v, refuses: %v", outage, refuses), func(w *world) {
		defer w.checker.beginDisturbance(&w.checker.storeDisturbances)()
		if refuses {
			w.store.Refuse(http.StatusServiceUnavailable)
			w.sleep(outage)
			w.store.Refuse(0)
			return
		}
		w.isolateFor(storeAddr, outage)
	}
}
