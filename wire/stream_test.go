package wire

import (
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// A message that came right before the end of the connection was lost at times: a whole answer failed.
func TestMessageBeforeTheEndOfTheConnectionIsReceived(t *testing.T) {
	is := is.New(t)
	c, _ := connPair(t, nil, Options{})
	defer c.Close()
	body, err := marshal(&echo{"last"})
	is.NoErr(err)
	const rounds = 50_000
	lost := 0
	for id := range uint64(rounds) {
		s := c.newStream(2 * id)
		go func() {
			s.in <- frame{kind: 16 | lastFlag, stream: s.id, body: body}
			s.cancel(fault.New(fault.ConnectionLost, "peer"))
		}()
		if _, err := s.Recv(t.Context()); err != nil {
			lost++
		}
	}
	is.Equal(lost, 0)
}
