package admission

import "maps"

// maxFinishes is the number of organisations beyond which those whose virtual finish time has
// passed are dropped.
const maxFinishes = 256

// FairOrder orders organisations by start-time fair queueing: the next request to start is that
// of the organisation with the earliest virtual start time, so that organisations with waiting
// requests get work in proportion to their weights. The zero value is ready for use. It is not
// safe for concurrent use.
type FairOrder struct {
	virtual  float64            // Virtual start time of the last request; never decreases.
	finishes map[string]float64 // Virtual finish time of the last request that each organisation started.
}

// Next returns the virtual start time of an organisation's next request.
func (o *FairOrder) Next(organisation string) float64 {
	return max(o.virtual, o.finishes[organisation])
}

// Start records that a request of an organisation starts. Weight must be positive.
func (o *FairOrder) Start(organisation string, weight, work float64) {
	if o.finishes == nil {
		o.finishes = map[string]float64{}
	}
	o.virtual = o.Next(organisation)
	o.finishes[organisation] = o.virtual + work/weight
	if len(o.finishes) > maxFinishes {
		// These have the same next start time as organisations that are not recorded.
		maps.DeleteFunc(o.finishes, func(_ string, finish float64) bool { return finish <= o.virtual })
	}
}

// Forget drops what is recorded of an organisation.
func (o *FairOrder) Forget(organisation string) { delete(o.finishes, organisation) }
