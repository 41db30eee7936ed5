// Package gateway is the process on an entry box.
//
// It takes callers' requests over HTTP, admits and limits them, chooses an
// upstream and dispatches to the agent there. It tries again only when that is
// proved safe, and tells every caller exactly one of: the whole answer, "not
// run", or "unknown".
package gateway
