// Package gateway implements the gateway process, which runs on an entry box.
//
// A Gateway receives callers' requests over HTTP, applies the organisation's
// rate limit and the service's queue, chooses an upstream and dispatches the
// request to the agent there. A request with an idempotency key goes to the
// key's home instead, and a request that no upstream of the hall can run is
// forwarded to a gateway of another hall. A request is retried only when that is
// proved safe, and every caller receives exactly one of: the complete answer,
// "not run", or "unknown".
//
// The gateway subscribes to the reports of its hall's agents, which the router
// uses to choose upstreams, and keeps its view of the configuration and the fleet
// current through package feed.
package gateway
