package cmd

import (
	"github.com/spf13/cobra"

	"github.com/poststand/poststand/internal/gateway"
	"github.com/poststand/poststand/internal/settings"
)

func gatewayCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "gateway --settings FILE",
		Short: "Run a gateway on an entry box",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := stopContext(c.Context())
			defer cancel()
			logHangups(ctx, notifyHangups())
			s, err := settings.LoadGateway(file)
			if err != nil {
				return err
			}
			g, err := gateway.New(s, gateway.Options{})
			if err != nil {
				return err
			}
			return g.Run(ctx)
		},
	}
	settingsFlag(c, &file)
	return c
}

func settingsFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "settings", "", "YAML file with the settings of this process")
	_ = c.MarkFlagRequired("settings")
}
