// Package limit bounds the rates at which a gateway accepts and sends requests.
//
// Permits enforce a rate limit exactly across all gateways: one of them grants the others a
// permit for each request that they send.
//
// A Rate enforces one gateway's part of a limit over all gateways. A RetryBudget keeps the retries
// of one process to a share of its requests.
//
// A RetryWindow does so for a box in every window of time, whatever processes of it start and end.
// What a process has spent counts after its end, so other gateways hold its RetryRecord. The next
// process of the box takes that over, or uses a small part of the limit until the window is over.
package limit
