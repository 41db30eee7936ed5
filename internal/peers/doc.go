// Package peers defines the protocol among gateways and agents, for a platform that processes
// can only read.
//
// One gateway of each hall watches the platform. Gateways announce themselves and the position
// of their mirror to some of the others; a gateway that is behind pulls the changes, so that
// those which do not watch, or get no answer from the platform, are kept up to date. An agent
// subscribes to one gateway for its Assignment, and reports the Status of its replica to the
// gateways of its hall and a few others.
package peers
