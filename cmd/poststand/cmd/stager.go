package cmd

import (
	"context"
	"net/http"

	"github.com/spf13/cobra"

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
		Short: "Run the agent of a box whose replica takes weights that are staged for it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			file := orVariable(file)
			s, err := settings.LoadStager(file)
			if err != nil {
				return err
			}
			t := &platform.Translator{OnInvalid: badRecord}
			st, err := stager.New(s, stager.Options{
				Replica: replica(s.Replica), Origin: origin(originClient()), Platform: follow(s.Store), Catalog: t.Catalog, KeepsHistory: platform.KeepsHistory, Outlasts: platform.Precedence,
			})
			if err != nil {
				return err
			}
			ctx, cancel := stopContext(c.Context())
			defer cancel()
			reloads(ctx, file, func() error {
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

func replica(addr string) stager.Replica {
	r := &platform.Replica{Addr: addr, HTTP: platformClient()}
	return stager.Replica{Report: r.Report, Order: r.Order, Stage: r.Stage, ListStaged: r.Staged, ReadStaged: r.ReadStaged}
}

// originClient speaks to the origin of weights, which takes few connections in all:
// one that rested here would be kept from the other boxes.
func originClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: link.DialContext, DisableCompression: true, DisableKeepAlives: true,
	}}
}

func origin(c *http.Client) stager.Origin {
	return stager.Origin{
		Manifest: func(ctx context.Context, addr, model string, version uint64) (*weights.Manifest, error) {
			return (&platform.Origin{Addr: addr, HTTP: c}).Manifest(ctx, model, version)
		},
		Piece: func(ctx context.Context, addr, model string, version uint64, piece int) ([]byte, error) {
			return (&platform.Origin{Addr: addr, HTTP: c}).Piece(ctx, model, version, piece)
		},
	}
}
