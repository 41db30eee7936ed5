package cmd

import (
	"context"
	"os"
	"time"

	"github.com/poststand/poststand/internal/telemetry"
)

// settingsPollInterval is how often a settings file is checked for changes, since it may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// reloadOnChange calls reload on each of hangups and whenever the settings file has changed. If
// reload refuses the new settings, the old ones stay in force.
func reloadOnChange(ctx context.Context, hangups chan os.Signal, file string, reload func() error) {
	go func() {
		t := time.NewTicker(settingsPollInterval)
		defer t.Stop()
		last := statFile(file)
		for {
			trigger := "signal"
			select {
			case <-hangups:
			case <-t.C:
				if statFile(file) == last {
					continue
				}
				trigger = "file"
			case <-ctx.Done():
				return
			}
			last = statFile(file)
			if err := reload(); err != nil {
				telemetry.LogError(err, "settings_refused", "file", file, "why", trigger)
				continue
			}
			telemetry.Log("settings_reloaded", "file", file, "why", trigger)
		}
	}()
}

// fileState identifies a version of a file by its modification time and size.
type fileState struct {
	modTime time.Time
	size    int64
}

func statFile(file string) fileState {
	i, err := os.Stat(file)
	if err != nil {
		return fileState{}
	}
	return fileState{i.ModTime(), i.Size()}
}
