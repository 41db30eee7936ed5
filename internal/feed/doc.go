// Package feed distributes the configuration and the fleet list to every process.
//
// In each hall, a few gateways watch the platform: the first in a rendezvous order
// that all gateways compute identically. Every other process follows a gateway of
// its hall with long polls: a SyncRequest contains the revision and the fleet version
// that the process holds, and the SyncReply contains the differences. Watchers also
// poll gateways of other halls, so that a hall without a connection to the platform
// is updated through them.
//
// Feed is the client side of a process, and Serve registers the server side. Platform
// is the client of the platform's service. Updates are accepted by view.Holder, which
// refuses older ones, so the feed cannot make a revision decrease. Older answers, from
// a stale platform or a delayed peer, are counted and dropped.
package feed
