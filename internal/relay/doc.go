// Package relay implements a gateway that sends requests directly to upstreams over HTTP. The
// upstreams themselves provide the guarantees that agents provide elsewhere: which replica and
// version runs a request, and proof that a request did not run.
//
// Each request is routed by a single catalog from start to end. It goes to the replica that is
// predicted to answer first, and is retried on another one only where that is safe and the
// retry budget allows it. Its caller receives exactly one of: the complete answer, a refusal
// stating that the request did not run, or a failure after which it may have run.
package relay
