// Package wire carries typed messages between processes of poststand.
//
// A Conn multiplexes streams over one net.Conn. Either end opens a stream with
// a first message; then both ends may send messages on it until one marks its
// last. A frame is a fixed header and a msgpack body:
//
//	length uint32 | kind uint8 | stream uint64 | body
//
// The first frame in each direction is a Hello, which names the protocol
// version, the cluster, the box and the incarnation of the process. A peer that
// speaks garbage, an older version, or for another cluster is refused with a
// typed error before any stream exists.
//
// Each stream has a bounded ring of received messages. A reader that does not
// keep up loses its own stream, with fault.Overflow, and never delays another.
// A frame for a stream that is not known is dropped and counted.
package wire
