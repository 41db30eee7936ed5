package cmd

import (
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/link"
	"github.com/poststand/poststand/internal/peers"
	"github.com/poststand/poststand/internal/relay"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/telemetry"
	"github.com/poststand/poststand/platform"
)

// settingsEnv is the environment variable with the path of the settings file, used if the
// flag is not set.
const settingsEnv = "POSTSTAND_CONFIG"

func relayCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "relay [--settings FILE]",
		Short: "Run a gateway that sends requests directly to the platform's replicas",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := stopContext(c.Context())
			defer cancel()
			hangups := notifyHangups()
			file := settingsPathOrEnv(file)
			s, err := settings.LoadRelay(file)
			if err != nil {
				return err
			}
			t := &platform.Translator{OnInvalid: logInvalidRecord}
			g, err := relay.New(s, relay.Options{Headers: platform.HeaderNames, Follower: newStoreFollower(s.Store), BuildCatalog: t.Catalog, KeepsHistory: platform.KeepsHistory, HoldPolicy: platform.HoldPolicy})
			if err != nil {
				return err
			}
			reloadOnChange(ctx, hangups, file, func() error {
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
	c.Flags().StringVar(file, "settings", "", "YAML file with the settings of this process; by default the one that "+settingsEnv+" names")
}

func settingsPathOrEnv(file string) string {
	if file == "" {
		return os.Getenv(settingsEnv)
	}
	return file
}

func logInvalidRecord(key string, err error) {
	telemetry.Log("record_refused", "key", key, "reason", fault.CodeOf(err), "detail", err.Error())
}

// newStoreFollower returns a follower of the platform's store at addr.
func newStoreFollower(addr string) *peers.Follower {
	s := &platform.Store{Addr: addr, HTTP: newPlatformClient(), OnNewEra: logNewEra}
	return &peers.Follower{ReadAll: s.ReadAll, Watch: s.Watch, Newest: s.NewestPosition}
}

func logNewEra(era, previous uint64, path string, status int) {
	telemetry.Log("store_era", "era", era, "before", previous, "path", path, "status", status)
}

// platformIdle is how long connections to the platform and to the replica stay open without a call.
const platformIdle = 90 * time.Second

// newPlatformClient returns the HTTP client for the platform's services. It detects dead
// paths, see package link, and keeps idle connections.
func newPlatformClient() *http.Client {
	return bounded.HTTP(&http.Transport{
		DialContext: link.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: platformIdle,
	})
}
