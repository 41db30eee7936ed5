// Package feed brings the configuration and the fleet list to every process.
//
// In each hall a few gateways, the first in a rendezvous order that all compute
// alike, watch the platform. Every other process asks one that has it, with a
// long poll that names the revision and the fleet version it holds and is
// answered with what differs. Watchers also ask gateways of other halls, so a
// hall that is cut from the platform is fed through them.
//
// What arrives is accepted by view.Holder, which refuses anything older; the
// feed itself cannot make a revision fall. An older answer, from a stale
// platform or a late peer, is counted and dropped.
package feed
