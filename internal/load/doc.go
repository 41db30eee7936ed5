// Package load sends an open-loop load to gateways and verifies every answer.
//
// A Run describes the load; its method Do sends it and returns a Summary. Requests
// arrive at random times at a given rate and never wait for answers. Each request has
// a unique reference, so that the ledgers of the stand-ins can be compared with what
// was reported to callers: an answer must be exactly the stand-ins' function of the
// request, a request that was reported as not run must be in no ledger, and an unsafe
// request may be in the ledgers at most once.
package load
