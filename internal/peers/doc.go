// Package peers is what gateways and agents tell one another where the platform
// can only be read.
//
// One gateway of each hall watches the platform. Gateways announce themselves and the
// revision that they hold to some of the others; whoever lacks something pulls it, so
// those that do not watch, or that the platform does not answer, follow. Agents
// subscribe to one gateway for what concerns them, an Assignment, and tell the
// gateways of their hall and a few others how their replica stands, a Status.
package peers
