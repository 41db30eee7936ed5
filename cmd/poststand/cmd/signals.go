package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/poststand/poststand/internal/telemetry"
)

// stopContext returns a context that is cancelled by the first SIGTERM or interrupt, which
// starts a drain. Platforms may send SIGTERM more than once, so only a second interrupt, as
// from an operator's terminal, exits the process immediately. A reader of the log that goes
// away does not end the process.
//
// Daemons call stopContext and notifyHangups before anything else: until then, the signals end
// the process.
func stopContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go handleStops(signals, cancel)
	return ctx, cancel
}

// handleStops cancels at the first signal, and exits the process at the second interrupt.
func handleStops(signals <-chan os.Signal, cancel context.CancelFunc) {
	interrupts := 0
	for s := range signals {
		telemetry.Log("signal", "signal", s)
		cancel()
		if s == syscall.SIGINT {
			interrupts++
		}
		if interrupts > 1 {
			telemetry.Log("stopped_at_once", "signal", s)
			telemetry.Flush()
			os.Exit(1)
		}
	}
}

// notifyHangups returns a channel that receives each SIGHUP from now on. The process must not
// call signal.Stop for it: a SIGHUP during the drain would end the process.
func notifyHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// logHangups logs each SIGHUP to a process that reads its settings only when it starts.
func logHangups(ctx context.Context, hangups chan os.Signal) {
	go func() {
		for {
			select {
			case <-hangups:
				telemetry.Log("settings_kept", "reason", "restart_needed")
			case <-ctx.Done():
				return
			}
		}
	}()
}
