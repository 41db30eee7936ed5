package cmd

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/wire"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this build and of its protocol",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			version := "devel"
			if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
				version = info.Main.Version
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "poststand version=%s protocol=%d\n", version, wire.Protocol)
			return err
		},
	}
}
