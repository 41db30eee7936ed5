// Package agent implements the agent process, which runs on an upstream box.
//
// An Agent downloads the weights that the configuration assigns to its box, and
// uploads them to other agents. It is the only process that sends orders to the
// engine of the box: its loader has the engine load a version once the weights are
// complete and no requests run on the old version. Requests reach the engine only
// through a dispatch.Gate, which admits those for this incarnation of the agent
// and the loaded version.
//
// A homeTracker records since when the agent has been the home of each idempotency
// key. Gateways receive the state of the agent in dispatch.Reports.
package agent
