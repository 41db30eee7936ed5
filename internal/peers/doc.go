// Package peers is what gateways and agents tell one another where the platform
// can only be read.
//
// Gateways announce themselves and the revision that they hold to the gateways
// they know; whoever lacks something pulls it, so a gateway that the platform
// does not answer follows the others. Agents subscribe to one gateway for what
// concerns them, an Assignment, and tell every gateway how their replica stands,
// a Status.
package peers
