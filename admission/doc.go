// Package admission decides, while there is less room than callers ask for, which requests are
// sent to a replica at once, which wait at the gateway, and which are refused and when their
// callers should retry.
//
// Service.Decide says whether a request is sent, waits or is refused, by the wait predicted for it
// and the wait that is allowed for its rank, attempt and organisation. Shares counts what each
// organisation, rank and size of requests got, and Pressure what is refused here and at the other
// gateways of the hall. WaitingList orders and bounds the requests that wait.
//
// A Queue runs a bounded number of requests at once and lets a bounded number wait. The next
// request to run is chosen first between organisations, by weighted fair queueing, and then
// within one by priority, so that a burst of one organisation cannot starve another whatever
// priorities it claims. When the queue is full, the organisation that exceeds its share the most
// loses a waiting request. Refusals are immediate and state when to retry.
//
// The package does no I/O. The current time is passed to its functions, except to those of a
// Queue, which wait.
package admission
