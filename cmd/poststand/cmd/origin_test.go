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

// An origin takes few connections in all: an agent that kept one while it fetches
// nothing would keep other boxes from their pieces.
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

	data, err := origin(originClient()).Piece(t.Context(), srv.Listener.Addr().String(), "m", 2, 0)
	is.NoErr(err)
	is.Equal(string(data), "piece")

	const soon = 5 * time.Second
	select {
	case <-closed:
	case <-time.After(soon):
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(open), 0)
}
