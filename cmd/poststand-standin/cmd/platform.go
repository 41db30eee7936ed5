package cmd

import (
	"github.com/spf13/cobra"

	"github.com/poststand/poststand/internal/standin"
)

func platformCommand() *cobra.Command {
	p := &standin.Platform{}
	var addr string
	c := &cobra.Command{
		Use:   "platform",
		Short: "Serve the configuration and the fleet list",
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), []string{addr}, p)
		},
	}
	c.Flags().StringVar(&addr, "listen", "127.0.0.1:7000", "address")
	c.Flags().Float64Var(&p.CallsPerSecond, "calls", 2000, "calls per second over all readers")
	c.Flags().DurationVar(&p.FleetLag, "fleet-lag", 0, "delay until changes of the fleet list become visible")
	return c
}
