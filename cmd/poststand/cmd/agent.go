package cmd

import (
	"github.com/spf13/cobra"

	"github.com/poststand/poststand/internal/agent"
	"github.com/poststand/poststand/internal/settings"
)

func agentCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "agent --settings FILE",
		Short: "Run the agent of an upstream box",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := stopContext(c.Context())
			defer cancel()
			logHangups(ctx, notifyHangups())
			s, err := settings.LoadAgent(file)
			if err != nil {
				return err
			}
			a, err := agent.New(s, agent.Options{})
			if err != nil {
				return err
			}
			return a.Run(ctx)
		},
	}
	settingsFlag(c, &file)
	return c
}
