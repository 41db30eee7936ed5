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
		"gateway": {description: "a gateway", load: discardResult(settings.LoadGateway)},
		"agent":   {description: "an agent", load: discardResult(settings.LoadAgent)},
		"relay":   {description: "a gateway that sends directly to replicas", load: discardResult(settings.LoadRelay)},
		"stager":  {description: "an agent that stages weights", load: discardResult(settings.LoadStager)},
	}
	c := &cobra.Command{
		Use:   "check [DIR]",
		Short: "Check a directory of configuration files, or the settings of processes",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			checked := 0
			for _, name := range rendezvous.Sorted(files) {
				f := files[name]
				if f.path == "" {
					continue
				}
				checked++
				if err := f.load(f.path); err != nil {
					return err
				}
			}
			if len(args) == 0 {
				if checked == 0 {
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
		c.Flags().StringVar(&f.path, name, "", "settings file of "+f.description)
	}
	return c
}

// settingsFile is one kind of settings file that can be checked.
type settingsFile struct {
	description string
	path        string
	load        func(path string) error
}

func discardResult[T any](load func(path string) (T, error)) func(path string) error {
	return func(path string) error {
		_, err := load(path)
		return err
	}
}

// loadConfig reads and validates the YAML files of a directory as one revision.
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
