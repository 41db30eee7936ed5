// Package admission decides, while there is less room than callers ask for, which requests are
// sent to a replica at once, which wait at the gateway, and which are refused and when their
// callers should retry.
//
// The package does no I/O, and the current time is passed to its functions.
package admission
