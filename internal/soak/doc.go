// Package soak holds tests of relays and stagers as separate processes over loopback, before
// the stand-ins of the platform. Unlike tests in virtual time, they include what the kernel and
// the runtime do: timeouts of sockets, resets, full buffers, signals, and one process after
// another at the same address. Links are proxies that delay, limit, stall and cut.
package soak
