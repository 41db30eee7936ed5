// Package stack runs a deployment in virtual time for end-to-end tests.
//
// A Stack runs real gateways and agents over a simulated network (package simnet) against
// stand-ins of the engines, the plain services, the origin and the platform (package standin).
// The tests inject failures anywhere between caller and engine: connections that break at every
// byte, stalls, killed processes, drains, version swaps and delayed fleet lists. The ledgers of the
// stand-ins, which record what really ran, are compared with what the callers received.
package stack
