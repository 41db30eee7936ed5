// Package limit bounds the load that a gateway accepts and sends.
//
// A Queue runs a bounded number of requests at once and lets a bounded number wait. The next
// request to run is chosen first between organisations, by weighted fair queueing, and then
// within one by priority, so that a burst of one organisation cannot starve another whatever
// priorities it claims. When the queue is full, the organisation that exceeds its share the most
// loses a waiting request. Refusals are immediate and state when to retry.
//
// Permits enforce a rate limit exactly across all gateways: one of them grants the others a
// permit for each request that they send.
//
// A Rate enforces one gateway's part of a limit over all gateways. A RetryBudget and a
// RetryWindow keep retries to a share of requests.
package limit
