package cmd

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/standin"
)

func originCommand() *cobra.Command {
	o := &standin.Origin{}
	var addr string
	var artifacts []string
	c := &cobra.Command{
		Use:   "origin",
		Short: "Serve weights from a rate-limited store",
		RunE: func(c *cobra.Command, _ []string) error {
			for _, text := range artifacts {
				a, err := parseArtifact(text)
				if err != nil {
					return err
				}
				if _, err := o.Add(a); err != nil {
					return err
				}
			}
			return serve(c.Context(), []string{addr}, o)
		},
	}
	c.Flags().StringVar(&addr, "listen", "127.0.0.1:7100", "address")
	c.Flags().Float64Var(&o.Link, "link", 0, "bytes per second in total; 0 is no limit")
	c.Flags().Float64Var(&o.BoxLink, "box-link", 0, "bytes per second to one address; 0 is no limit")
	c.Flags().IntVar(&o.MaxConcurrent, "at-once", 0, "concurrent requests; 0 is no limit")
	c.Flags().StringSliceVar(&artifacts, "artifact", nil, "MODEL/VERSION:BYTES:CHUNK; may be repeated")
	return c
}

func parseArtifact(text string) (standin.Artifact, error) {
	badArtifact := fault.New(fault.BadRequest, fmt.Sprintf("artifact %q: want MODEL/VERSION:BYTES:CHUNK", text))
	fields := strings.Split(text, ":")
	model, version, ok := strings.Cut(fields[0], "/")
	if !ok || len(fields) != 3 {
		return standin.Artifact{}, badArtifact
	}
	size, err1 := strconv.Atoi(fields[1])
	chunk, err2 := strconv.Atoi(fields[2])
	if err1 != nil || err2 != nil || size < 1 || chunk < 1 {
		return standin.Artifact{}, badArtifact
	}
	return standin.Artifact{Model: model, Version: version, Bytes: size, ChunkSize: chunk}, nil
}

func manifestCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "manifest MODEL/VERSION:BYTES:CHUNK",
		Short: "Print the manifest digest for a configuration",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			a, err := parseArtifact(args[0])
			if err != nil {
				return err
			}
			var o standin.Origin
			digest, err := o.Add(a)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), digest)
			return err
		},
	}
}
