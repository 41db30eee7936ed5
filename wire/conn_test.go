package wire

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

type echo struct{ Text string }

var testCodec = NewCodec([]Entry{{Kind: 16, Message: &echo{}}})

func echoHandlers() *Handlers {
	h := &Handlers{}
	On(h, func(ctx context.Context, s *Stream, m *echo) { _ = s.SendLast(ctx, m) })
	return h
}

func hello(cluster string) Hello { return Hello{Cluster: cluster, Box: "a", Incarnation: 1} }

// connPair returns two connections joined by a pipe.
func connPair(t *testing.T, h *Handlers, o Options) (*Conn, *Conn) {
	t.Helper()
	a, b := net.Pipe()
	done := make(chan *Conn, 1)
	go func() {
		c, _ := NewConn(t.Context(), b, hello("c"), testCodec, h, false, o)
		done <- c
	}()
	c, err := NewConn(t.Context(), a, hello("c"), testCodec, nil, true, o)
	if err != nil {
		t.Fatal(err)
	}
	return c, <-done
}

func TestCallAnswersOnItsOwnStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, _ := connPair(t, echoHandlers(), Options{})
		defer c.Close()
		for _, text := range []string{"one", "two"} {
			m, err := c.Call(t.Context(), &echo{text})
			is.NoErr(err)
			is.Equal(m, &echo{text})
		}
	})
}

func TestHandshakeErrors(t *testing.T) {
	cases := []struct {
		name  string
		bytes []byte
		peer  Hello
		want  fault.Code
	}{
		{name: "garbage", bytes: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), want: fault.TooLarge},
		{name: "short garbage", bytes: make([]byte, headerSize), want: fault.Garbage},
		{name: "other cluster", peer: Hello{Magic: magic, Protocol: Protocol, Cluster: "other"}, want: fault.OtherCluster},
		{name: "old protocol", peer: Hello{Magic: magic, Protocol: Protocol - 1, Cluster: "c"}, want: fault.OldProtocol},
		{name: "silence", want: fault.LinkStalled},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a, b := net.Pipe()
				counted := fault.Code("")
				go func() {
					if tc.peer.Magic != "" {
						body, _ := marshal(&tc.peer)
						tc.bytes = appendFrame(nil, frame{kind: kindHello, body: body})
					}
					_, _ = b.Write(tc.bytes)
				}()
				go func() { _, _ = b.Read(make([]byte, 1<<10)) }()
				_, err := NewConn(t.Context(), a, hello("c"), testCodec, nil, false, Options{OnFault: func(c fault.Code) { counted = c }})
				is.Equal(fault.CodeOf(err), tc.want)
				is.Equal(counted, tc.want) // Each refusal is counted.
				_ = b.Close()
			})
		})
	}
}

func TestSlowReaderLosesItsOwnStreamOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &Handlers{}
		On(h, func(ctx context.Context, s *Stream, m *echo) {
			for range 8 {
				_ = s.Send(ctx, m)
			}
			_ = s.SendLast(ctx, m)
		})
		c, _ := connPair(t, h, Options{StreamBuffer: 4})
		defer c.Close()
		slow, err := c.Open(t.Context(), &echo{"slow"})
		is.NoErr(err)
		synctest.Wait() // Nothing is read from the stream.
		quick, err := c.Open(t.Context(), &echo{"quick"})
		is.NoErr(err)
		_, err = quick.Recv(t.Context())
		is.NoErr(err) // Another stream is not affected.
		for err = nil; err == nil; {
			_, err = slow.Recv(t.Context())
		}
		is.Equal(fault.CodeOf(err), fault.StreamOverflow)
	})
}

// A reader that went on after its buffer had been full got later messages and a clean end, without those
// that were dropped.
func TestStreamThatOverflowedHasNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &Handlers{}
		On(h, func(ctx context.Context, s *Stream, _ *echo) {
			for _, text := range []string{"1", "2", "3"} {
				_ = s.Send(ctx, &echo{text})
				time.Sleep(time.Second)
			}
			_ = s.SendLast(ctx, &echo{"4"})
		})
		c, _ := connPair(t, h, Options{StreamBuffer: 2})
		defer c.Close()
		s, err := c.Open(t.Context(), &echo{})
		is.NoErr(err)
		time.Sleep(2500 * time.Millisecond) // The third message is dropped.
		m, err := s.Recv(t.Context())
		is.NoErr(err)
		is.Equal(m, &echo{"1"})
		time.Sleep(time.Second) // The last one arrives.
		m, err = s.Recv(t.Context())
		is.NoErr(err)
		is.Equal(m, &echo{"2"})
		_, err = s.Recv(t.Context())
		is.Equal(fault.CodeOf(err), fault.StreamOverflow)
		is.True(!s.Finished())
	})
}

func TestStalledLinkEndsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()
		go func() {
			_, _ = NewConn(t.Context(), &mute{Conn: b}, hello("c"), testCodec, echoHandlers(), false, Options{})
		}()
		c, err := NewConn(t.Context(), a, hello("c"), testCodec, nil, true, Options{})
		is.NoErr(err)
		began := time.Now()
		<-c.Done()
		is.Equal(fault.CodeOf(c.cause()), fault.LinkStalled)
		is.Equal(time.Since(began), 15*time.Second)
	})
}

// mute passes the handshake, then drops all writes without closing.
type mute struct {
	net.Conn
	writes int
}

func (m *mute) Write(b []byte) (int, error) {
	m.writes++
	if m.writes > 1 {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

// An idle connection stays up, though one end's stall timeout is shorter than the other's ping
// interval.
func TestIdleConnectionStaysUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()
		go func() { _, _ = NewConn(t.Context(), b, hello("c"), testCodec, echoHandlers(), false, Options{}) }()
		quick := Options{PingIntervalFor: func(Hello) time.Duration { return time.Second }}
		c, err := NewConn(t.Context(), a, hello("c"), testCodec, nil, true, quick)
		is.NoErr(err)
		time.Sleep(10 * time.Minute)
		m, err := c.Call(t.Context(), &echo{"still here"})
		is.NoErr(err)
		is.Equal(m, &echo{"still here"})
		c.Close()
	})
}

// Addresses of replaced boxes are eventually dropped from a pool.
func TestPoolForgetsDeadAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &Pool{
			Local: hello("c"), Codec: testCodec, MaxAddrs: 8,
			Dial: func(context.Context, string) (net.Conn, error) { return nil, fault.New(fault.Unreachable, "") },
		}
		for i := range 100 {
			_, err := p.Get(t.Context(), string(rune('a'+i)))
			is.Equal(fault.CodeOf(err), fault.Unreachable)
			time.Sleep(time.Second)
		}
		is.True(len(p.conns) <= 8)
	})
}
