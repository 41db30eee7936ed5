package cmd

import (
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/link"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/relay"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/platform"
)

// settingsVariable names the file with the settings where no flag does.
const settingsVariable = "POSTSTAND_CONFIG"

func relayCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "relay [--settings FILE]",
		Short: "Run a gateway that sends requests straight to the platform's replicas",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			file := orVariable(file)
			s, err := settings.LoadRelay(file)
			if err != nil {
				return err
			}
			t := &platform.Translator{OnInvalid: badRecord}
			g, err := relay.New(s, relay.Options{Headers: platform.Dialect, Follower: follow(s.Store), BuildCatalog: t.Catalog, KeepsHistory: platform.KeepsHistory, HoldPolicy: platform.Precedence})
			if err != nil {
				return err
			}
			ctx, cancel := stopContext(c.Context())
			defer cancel()
			reloads(ctx, file, func() error {
				s, err := settings.LoadRelay(file)
				if err != nil {
					return err
				}
				return g.Reload(s)
			})
			return g.Run(ctx)
		},
	}
	optionalSettingsFlag(c, &file)
	return c
}

func optionalSettingsFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "settings", "", "YAML file with the settings of this process; by default the one that "+settingsVariable+" names")
}

func orVariable(file string) string {
	if file == "" {
		return os.Getenv(settingsVariable)
	}
	return file
}

func badRecord(key string, err error) {
	telemetry.Log("record_refused", "key", key, "reason", fault.CodeOf(err), "detail", err.Error())
}

// follow reads the platform's store at an address.
func follow(addr string) *peers.Follower {
	s := &platform.Store{Addr: addr, HTTP: platformClient(), OnNewEra: newEra}
	return &peers.Follower{ReadAll: s.Whole, Watch: s.Watch, Newest: s.Newest}
}

func newEra(era, before uint64, path string, status int) {
	telemetry.Log("store_era", "era", era, "before", before, "path", path, "status", status)
}

// platformClient speaks to what stands on the platform. It notices a dead path
// by itself and keeps its connections.
func platformClient() *http.Client {
	const idle = 90 * time.Second
	return &http.Client{Transport: &http.Transport{
		DialContext: link.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: idle,
	}}
}
