// Package limit bounds the rates at which a gateway accepts and sends requests.
//
// Permits enforce a rate limit exactly across all gateways: one of them grants the others a
// permit for each request that they send.
//
// A Rate enforces one gateway's part of a limit over all gateways. A RetryBudget and a
// RetryWindow keep retries to a share of requests.
package limit
