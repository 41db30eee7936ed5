package cmd

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/internal/standin"
)

func engineCommand() *cobra.Command {
	e := &standin.Engine{}
	var addr string
	c := &cobra.Command{
		Use:   "engine",
		Short: "Serve a model engine whose answers are a fixed function",
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), []string{addr}, e)
		},
	}
	c.Flags().StringVar(&addr, "listen", "127.0.0.1:7200", "address")
	c.Flags().DurationVar(&e.FirstToken, "first-token", 5*time.Millisecond, "delay before the first token")
	c.Flags().DurationVar(&e.PerToken, "per-token", time.Millisecond, "delay between tokens")
	c.Flags().IntVar(&e.Batch, "batch", 8, "requests that run at full speed")
	c.Flags().BoolVar(&e.ChecksOrders, "checks-orders", false, "refuse an order with an older fence")
	return c
}

func plainCommand() *cobra.Command {
	p := &standin.Plain{}
	var addr string
	c := &cobra.Command{
		Use:   "plain",
		Short: "Serve a plain service whose answers are a fixed function",
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), []string{addr}, p)
		},
	}
	c.Flags().StringVar(&addr, "listen", "127.0.0.1:7300", "address")
	c.Flags().StringVar(&p.Name, "name", "plain", "name of the service")
	c.Flags().DurationVar(&p.ServiceTime, "takes", 2*time.Millisecond, "duration of a request")
	return c
}
