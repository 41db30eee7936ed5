package cmd

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/settings"
)

func checkCommand() *cobra.Command {
	var gatewayFile, agentFile string
	c := &cobra.Command{
		Use:   "check [DIR]",
		Short: "Check operators' files as a whole, or the settings of a process",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if gatewayFile != "" {
				if _, err := settings.LoadGateway(gatewayFile); err != nil {
					return err
				}
			}
			if agentFile != "" {
				if _, err := settings.LoadAgent(agentFile); err != nil {
					return err
				}
			}
			if len(args) == 0 {
				if gatewayFile == "" && agentFile == "" {
					return fault.New(fault.BadRequest, "nothing to check: name a directory or a settings file")
				}
				return nil
			}
			cfg, err := loadConfig(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "ok halls=%d models=%d services=%d organisations=%d\n",
				len(cfg.Halls), len(cfg.Models), len(cfg.Services), len(cfg.Organisations))
			return err
		},
	}
	c.Flags().StringVar(&gatewayFile, "gateway", "", "settings file of a gateway")
	c.Flags().StringVar(&agentFile, "agent", "", "settings file of an agent")
	return c
}

// loadConfig reads and validates the YAML files of a directory as one whole.
func loadConfig(dir string) (*config.Config, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil || len(files) == 0 {
		return nil, fault.New(fault.BadConfig, "no YAML files in "+dir)
	}
	docs := map[string][]byte{}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, fault.Wrap(fault.BadConfig, err, f)
		}
		docs[filepath.Base(f)] = data
	}
	return config.Parse(docs)
}
