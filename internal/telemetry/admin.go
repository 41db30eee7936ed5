package telemetry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
)

// Admin serves a process's metrics, health and status.
type Admin struct {
	Metrics *Metrics
	Ready   func() error // Returns nil if the process accepts requests.
	Status  func() any   // Returns the status that `poststand status` prints.
}

// Handler returns the admin endpoints.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", a.Metrics.Handler)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := a.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a.Status())
	})
	return mux
}

// Server returns an HTTP server for the admin endpoints.
func (a *Admin) Server() *http.Server { return &http.Server{Handler: a.Handler()} }

// ServeHTTP runs srv on ln until ctx is cancelled. Headers of requests have a limit of time and size.
func ServeHTTP(ctx context.Context, ln net.Listener, srv *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if srv.ReadHeaderTimeout == 0 {
		srv.ReadHeaderTimeout = 5 * time.Second
	}
	if srv.MaxHeaderBytes == 0 {
		srv.MaxHeaderBytes = bounded.MaxHeader
	}
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fault.Wrap(fault.ConnectionLost, err, "http")
	}
	return nil
}
