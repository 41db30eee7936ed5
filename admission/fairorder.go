package admission

// FairOrder orders organisations by weighted fair queueing: the next request to start is that of
// the organisation with the earliest virtual finish time, so that organisations with waiting
// requests get work in proportion to their weights. The zero value is ready for use. It is not
// safe for concurrent use.
type FairOrder struct {
	virtual  float64            // Never decreases.
	finishes map[string]float64 // Virtual finish time of the last request that each organisation started.
}

// Finish returns the virtual finish time that a request of an organisation would have if it
// started next. Weight must be positive.
func (o *FairOrder) Finish(organisation string, weight, work float64) float64 {
	return max(o.virtual, o.finishes[organisation]) + work/weight
}

// Start records that a request of an organisation starts.
func (o *FairOrder) Start(organisation string, weight, work float64) {
	if o.finishes == nil {
		o.finishes = map[string]float64{}
	}
	finish := o.Finish(organisation, weight, work)
	o.virtual = max(o.virtual, finish-work/weight)
	o.finishes[organisation] = finish
}

// Forget drops what is recorded of an organisation.
func (o *FairOrder) Forget(organisation string) { delete(o.finishes, organisation) }
