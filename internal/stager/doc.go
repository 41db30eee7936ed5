// Package stager is the agent of a box whose replica takes weights from a place
// on the box itself, and is sent requests by gateways without the agent.
//
// It brings the version that is wanted to the box, from other boxes and from the
// origin, stages it, and is the only one to order its replica to take it, when
// the replica's turn in its hall has come. It tells every gateway how the replica
// stands. It writes nothing that outlives it: what it knows it learns from a
// gateway, or from the platform itself when no gateway answers, and what the box
// holds it reads back from the replica.
package stager
