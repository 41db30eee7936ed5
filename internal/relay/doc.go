// Package relay is a gateway that sends requests straight to upstreams over
// HTTP, where the upstreams themselves prove what an agent proves elsewhere:
// which replica and version runs a request, and that it did not run.
//
// A request is decided by one catalog from start to end. It goes to the replica
// that is predicted to answer first; it goes to a second one only where that is
// safe and the bound on repeats allows it. Its caller is told exactly one of: the
// whole answer, "not run", or that it may have run.
package relay
