package cmd

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/rendezvous"
)

func checkCommand() *cobra.Command {
	files := map[string]*settingsFile{
		"gateway": {what: "a gateway", load: loads(settings.LoadGateway)},
		"agent":   {what: "an agent", load: loads(settings.LoadAgent)},
		"relay":   {what: "a gateway that sends straight to replicas", load: loads(settings.LoadRelay)},
		"stager":  {what: "an agent that stages weights", load: loads(settings.LoadStager)},
	}
	c := &cobra.Command{
		Use:   "check [DIR]",
		Short: "Check operators' files as a whole, or the settings of a process",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			named := 0
			for _, name := range rendezvous.Sorted(files) {
				f := files[name]
				if f.path == "" {
					continue
				}
				named++
				if err := f.load(f.path); err != nil {
					return err
				}
			}
			if len(args) == 0 {
				if named == 0 {
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
	for name, f := range files {
		c.Flags().StringVar(&f.path, name, "", "settings file of "+f.what)
	}
	return c
}

// settingsFile is a kind of settings that can be checked.
type settingsFile struct {
	what string
	path string
	load func(path string) error
}

func loads[T any](load func(path string) (T, error)) func(path string) error {
	return func(path string) error {
		_, err := load(path)
		return err
	}
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
