// Package limit bounds what a gateway takes on.
//
// A Queue runs a number of requests at once and lets a bounded number wait. Who
// goes next is decided first between organisations, by weighted fair shares,
// and then within one by priority, so that a burst of one organisation cannot
// starve another whatever priorities it claims. When the queue is full the
// organisation furthest over its share gives way. Refusals are immediate and
// say when to come back.
//
// Permits is a limit that all gateways hold together to the request: one of them gives the
// others a permit for each request that they send.
//
// A Rate is the part of a limit over all gateways that falls to one of them. A
// Budget keeps retries to a share of requests.
package limit
