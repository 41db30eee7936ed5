package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
)

func publishCommand() *cobra.Command {
	var platform, boxes string
	c := &cobra.Command{
		Use:   "publish [DIR]",
		Short: "Publish the YAML files of a directory as one revision, or a fleet list",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if boxes != "" {
				data, err := os.ReadFile(boxes)
				if err != nil {
					return fault.Wrap(fault.BadRequest, err, boxes)
				}
				if err := post(c, platform+"/control/fleet", data); err != nil {
					return err
				}
			}
			if len(args) == 0 {
				return nil
			}
			data, err := readDir(args[0])
			if err != nil {
				return err
			}
			return post(c, platform+"/control/publish", data)
		},
	}
	c.Flags().StringVar(&platform, "platform", "http://127.0.0.1:7000", "the platform's address")
	c.Flags().StringVar(&boxes, "fleet", "", "a JSON file with the fleet list")
	return c
}

func readDir(dir string) ([]byte, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil || len(files) == 0 {
		return nil, fault.New(fault.BadRequest, "no YAML files in "+dir)
	}
	docs := map[string]string{}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, f)
		}
		docs[filepath.Base(f)] = string(data)
	}
	b, err := json.Marshal(docs)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "documents")
	}
	return b, nil
}

// maxReply limits the platform's reply to a publication, in bytes.
const maxReply = 1 << 20

func post(c *cobra.Command, url string, body []byte) error {
	resp, err := bounded.DefaultClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(fault.Unreachable, err, url)
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := bounded.ReadAll(resp.Body, maxReply, url)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.UpstreamFailed, fmt.Sprintf("%s: %s %s", url, resp.Status, out))
	}
	_, err = c.OutOrStdout().Write(out)
	if err != nil {
		return fault.Wrap(fault.ConnectionLost, err, "output")
	}
	return nil
}
