package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
)

// reloadEvery is how often a settings file is looked at: it may change without a
// signal.
const reloadEvery = 2 * time.Second

// reloads calls reload when the process is told that its settings file has
// changed, and when it has changed without that. Settings that are refused leave
// the old ones in force.
func reloads(ctx context.Context, file string, reload func() error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		t := time.NewTicker(reloadEvery)
		defer t.Stop()
		seen := changeOf(file)
		for {
			why := "signal"
			select {
			case <-hangups:
			case <-t.C:
				if changeOf(file) == seen {
					continue
				}
				why = "file"
			case <-ctx.Done():
				return
			}
			seen = changeOf(file)
			if err := reload(); err != nil {
				telemetry.LogError(err, "settings_refused", "file", file, "why", why)
				continue
			}
			telemetry.Log("settings_reloaded", "file", file, "why", why)
		}
	}()
}

// change tells two states of a file apart.
type change struct {
	at   time.Time
	size int64
}

func changeOf(file string) change {
	i, err := os.Stat(file)
	if err != nil {
		return change{}
	}
	return change{i.ModTime(), i.Size()}
}
