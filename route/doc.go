// Package route chooses the upstream for a request.
//
// A Router holds the state of the upstreams of a hall as one gateway sees them: their last
// report, the requests that this gateway has in flight there, and the results of its own
// dispatches. Pick prefers the upstream that a prompt's prefix hashes to, as long as its load is
// near the mean, and otherwise takes the better of two drawn at random. A failing upstream is
// ejected for a while, but never more than a share of them at once, so that a brief widespread
// failure cannot empty a hall. A new upstream is given its load gradually.
//
// A Table does the same for replicas that requests are sent to directly, without an agent in
// between. It chooses the replica that is predicted to answer first.
//
// A Rollout decides which version of a service is requested: a new one once enough replicas of
// the hall are ready with it, and from then on no older one unless a newer configuration
// requests it.
//
// The package does no I/O, and the current time is passed to its functions.
package route
