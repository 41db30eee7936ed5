// Package stager implements the agent of a box whose replica loads weights from a
// staging area on the box and receives requests from gateways directly.
//
// The agent downloads the assigned version from other boxes and from the origin,
// stages it, and orders the replica to load it when the replica's turn in the rolling
// update of its hall has come. No other process gives the replica orders. The agent
// reports the replica's status to gateways. It keeps no state across restarts: it
// receives its assignment from a gateway, or derives it from the platform when no
// gateway answers, and reads staged weights back from the replica.
package stager
