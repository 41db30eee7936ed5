// Package stack joins real gateways and agents with the stand-ins over faked
// links, in virtual time. Its tests cause failures on the whole path: cuts at
// every byte, stalls, deaths, drains, swaps, lagging lists.
package stack
