// Package cmd implements the subcommands of poststand-standin, which Main runs.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/fault"
)

// Main runs the command line and returns the exit status.
func Main() int {
	root := &cobra.Command{
		Use:           "poststand-standin",
		Short:         "Stand-ins for the platform, the origin, engines and plain services",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), originCommand(), engineCommand(), plainCommand(), publishCommand(), manifestCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// serve serves h at each of the addresses until ctx is cancelled.
func serve(ctx context.Context, addrs []string, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, len(addrs))
	for _, addr := range addrs {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return fault.Wrap(fault.Unreachable, err, addr)
		}
		go func() { failed <- srv.Serve(ln) }()
	}
	select {
	case <-ctx.Done():
		_ = srv.Close()
		return nil
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return fault.Wrap(fault.ConnectionLost, err, "serve")
	}
}
