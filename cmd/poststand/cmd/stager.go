package cmd

import (
	"context"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/internal/bounded"
	"github.com/poststand/poststand/internal/link"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/stager"
	"github.com/poststand/poststand/platform"
	"github.com/poststand/poststand/weights"
)

func stagerCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "stager [--settings FILE]",
		Short: "Run the agent of a box whose replica loads staged weights",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := stopContext(c.Context())
			defer cancel()
			hangups := notifyHangups()
			file := settingsPathOrEnv(file)
			s, err := settings.LoadStager(file)
			if err != nil {
				return err
			}
			t := &platform.Translator{OnInvalid: logInvalidRecord}
			st, err := stager.New(s, stager.Options{
				Replica: newReplica(s.Replica), Origin: newOrigin(newOriginClient()), Platform: newStoreFollower(s.Store), Catalog: t.Catalog, KeepsHistory: platform.KeepsHistory, HoldPolicy: platform.HoldPolicy,
			})
			if err != nil {
				return err
			}
			reloadOnChange(ctx, hangups, file, func() error {
				s, err := settings.LoadStager(file)
				if err != nil {
					return err
				}
				return st.Reload(s)
			})
			return st.Run(ctx)
		},
	}
	optionalSettingsFlag(c, &file)
	return c
}

func newReplica(addr string) stager.Replica {
	r := &platform.Replica{Addr: addr, HTTP: newReplicaClient()}
	return stager.Replica{Report: r.Report, Connect: r.Connect, Stage: r.Stage, ListStaged: r.Staged, ReadStaged: r.ReadStaged}
}

// newReplicaClient returns the HTTP client for calls to the replica of the box.
func newReplicaClient() *http.Client {
	return bounded.HTTP(&http.Transport{DialContext: link.DialReset, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: platformIdle})
}

// newOriginClient returns the HTTP client for the origin of weights. It keeps no idle
// connections: the origin accepts few in total, and an idle one would block other boxes.
func newOriginClient() *http.Client {
	return bounded.HTTP(&http.Transport{
		DialContext: (&link.RetryDialer{}).DialContext, DisableCompression: true, DisableKeepAlives: true,
	})
}

func newOrigin(c *http.Client) stager.Origin {
	return stager.Origin{
		Manifest: func(ctx context.Context, addr, model string, version uint64) (*weights.Manifest, error) {
			return (&platform.Origin{Addr: addr, HTTP: c}).Manifest(ctx, model, version)
		},
		Piece: func(ctx context.Context, addr, model string, version uint64, piece, maxBytes int) ([]byte, error) {
			return (&platform.Origin{Addr: addr, HTTP: c}).Piece(ctx, model, version, piece, maxBytes)
		},
	}
}
