// Package load sends an open-loop load to gateways and verifies every answer.
//
// Arrivals follow the clock and never wait for answers. Each request carries a
// reference of its own, so that the ledgers of the stand-ins can be compared
// with what callers were told: an answer must be exactly the stand-ins' function
// of the request, a request told "not run" must stand in no ledger, and an
// unsafe one at most once.
package load
