// Package eventstream reads streams of server-sent events (text/event-stream) as a proxy does: it
// passes on complete events byte for byte, and decides whether an answer is whole.
//
// A [Splitter] separates complete events from the piece that follows them:
//
//	var s eventstream.Splitter
//	for {
//		_, err := s.Fill(body)
//		if events := s.Take(); len(events.Data) > 0 {
//			pass(events.Data)
//		}
//		if err != nil {
//			break
//		}
//	}
//
// The end of the bytes is not the end of the answer. An [End] holds what is known when the bytes
// have ended, and [End.Verdict] decides what follows, for streams and plain answers alike.
package eventstream
