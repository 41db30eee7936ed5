package peers

import "context"

// Bounds of plausible values in an AdmissionState.
const (
	maxReportedRank = 1 << 16
	maxReportedWork = 1 << 30
)

// AdmissionState reports what the sender refuses for lack of room. It is sent to gateways of its
// hall while it refuses requests, and for a while after.
type AdmissionState struct {
	Services map[string]ServiceAdmission // Those with recent refusals, by name.
}

// ServiceAdmission is the part of an AdmissionState about one service.
type ServiceAdmission struct {
	// RefusedRank is the most urgent rank of which a request was refused for lack of room since
	// the last message. It is nil if there was none.
	RefusedRank *int
	Work        map[string]int // Work of the requests that were sent since the last message, by organisation.
}

// Valid reports whether the message is plausible: its values are within bounds.
func (s *ServiceAdmission) Valid() bool {
	if s.RefusedRank != nil && (*s.RefusedRank < 0 || *s.RefusedRank > maxReportedRank) {
		return false
	}
	for _, work := range s.Work {
		if work < 0 || work > maxReportedWork {
			return false
		}
	}
	return true
}

// SendAdmissionState sends a state to the gateway at an address. Delivery is not confirmed.
func (g *Gossip) SendAdmissionState(ctx context.Context, addr string, m *AdmissionState) {
	g.send(ctx, addr, m)
}
