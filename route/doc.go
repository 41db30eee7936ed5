// Package route chooses the upstream for a request.
//
// A Router holds what one gateway knows of the upstreams of its hall: their
// last report, what this gateway itself has in flight there, and how its own
// dispatches fared. Pick prefers the upstream that a prompt's prefix hashes to,
// as long as its load is near the mean, and else takes the better of two drawn
// at random. An upstream that fails is left out for a while, never more than a
// share of them, so that a bad moment cannot empty a hall. A fresh one is given
// its work gradually.
//
// A Rollout decides which version a service is asked for: a new one once enough
// replicas of the hall confirmed it, and from then on no older one until a newer
// configuration says so.
//
// Neither does I/O; both are given the time.
package route
