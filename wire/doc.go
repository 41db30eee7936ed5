// Package wire carries typed messages between processes of poststand.
//
// A Conn multiplexes streams over one net.Conn. Either end opens a stream with a first
// message; then both ends may send messages on it until one marks its last. A frame is a fixed
// header and a msgpack body:
//
//	length uint32 | kind uint8 | stream uint64 | body
//
// The first frame in each direction is a Hello with the protocol version, the cluster, the box
// and the incarnation of the process. A peer that sends garbage, an older protocol version or
// another cluster is refused with a typed error before any stream is opened.
//
// Each stream has a bounded buffer of received messages. If its reader does not keep up, that
// stream ends with fault.StreamOverflow after what the buffer holds; others are not delayed. A frame
// for an unknown stream is dropped and counted.
package wire
