package cmd

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The origin accepts few connections in total, so an idle connection of one agent would
// block the fetches of other boxes.
func TestNoConnectionRestsAtTheOrigin(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	closed := make(chan struct{}, 1)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("piece"))
	}))
	srv.Config.ConnState = func(c net.Conn, s http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch s {
		case http.StateNew:
			open[c] = true
		case http.StateClosed:
			delete(open, c)
			closed <- struct{}{}
		}
	}
	srv.Start()
	defer srv.Close()

	data, err := newOrigin(newOriginClient()).Piece(t.Context(), srv.Listener.Addr().String(), "m", 2, 0, 5)
	is.NoErr(err)
	is.Equal(string(data), "piece")

	const timeout = 5 * time.Second
	select {
	case <-closed:
	case <-time.After(timeout):
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(open), 0)
}
