package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/config"
	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/rendezvous"
)

func planCommand() *cobra.Command {
	var fleetFile, against string
	c := &cobra.Command{
		Use:   "plan DIR --fleet FILE [--against DIR]",
		Short: "Show what a configuration places where, and what would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cfg, err := loadConfig(args[0])
			if err != nil {
				return err
			}
			boxes, err := loadFleet(fleetFile)
			if err != nil {
				return err
			}
			var old *config.Config
			if against != "" {
				if old, err = loadConfig(against); err != nil {
					return err
				}
			}
			return printPlan(c.OutOrStdout(), cfg, old, boxes)
		},
	}
	c.Flags().StringVar(&fleetFile, "fleet", "", "JSON file with the fleet list")
	c.Flags().StringVar(&against, "against", "", "directory of the configuration in force")
	_ = c.MarkFlagRequired("fleet")
	return c
}

func loadFleet(file string) (map[string]fleet.Box, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.BadConfig, err, file)
	}
	var boxes map[string]fleet.Box
	if err := json.Unmarshal(data, &boxes); err != nil {
		return nil, fault.Wrap(fault.BadConfig, err, file)
	}
	return boxes, nil
}

// assignedWork returns the service that a box serves, with the version for a model
// service, or "-" if it serves none.
func assignedWork(cfg *config.Config, p *config.Placement, box string) string {
	name, ok := p.ByBox[box]
	if !ok {
		return "-"
	}
	if s := cfg.Services[name]; s.Kind == config.KindModel {
		return name + "@" + s.Version
	}
	return name
}

func printPlan(w io.Writer, cfg, old *config.Config, boxes map[string]fleet.Box) error {
	p := config.Place(cfg, boxes)
	var oldPlacement *config.Placement
	if old != nil {
		oldPlacement = config.Place(old, boxes)
	}
	changed := 0
	for _, name := range rendezvous.Sorted(boxes) {
		b := boxes[name]
		if b.Class == fleet.ClassGateway {
			continue
		}
		line := fmt.Sprintf("box=%s hall=%s serves=%s", name, b.Hall, assignedWork(cfg, p, name))
		if oldPlacement != nil {
			if before := assignedWork(old, oldPlacement, name); before != assignedWork(cfg, p, name) {
				line += " was=" + before
				changed++
			}
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return fault.Wrap(fault.ConnectionLost, err, "output")
		}
	}
	for _, key := range rendezvous.Sorted(p.Shortfall) {
		if _, err := fmt.Fprintf(w, "short=%s replicas=%d\n", key, p.Shortfall[key]); err != nil {
			return fault.Wrap(fault.ConnectionLost, err, "output")
		}
	}
	if oldPlacement != nil {
		if _, err := fmt.Fprintf(w, "changed=%d\n", changed); err != nil {
			return fault.Wrap(fault.ConnectionLost, err, "output")
		}
	}
	return nil
}
