// Package cmd implements the subcommands of poststand, one in each file. New returns the
// command tree and Main runs it.
package cmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/poststand/poststand/internal/strict"
	"github.com/poststand/poststand/internal/telemetry"
)

// Main runs the command line and returns the exit status: 0 on success, 1 on failure.
func Main() int {
	telemetry.Start(os.Stdout)
	defer telemetry.Flush()
	if err := New().ExecuteContext(context.Background()); err != nil {
		printError(err)
		return 1
	}
	return 0
}

// New returns the command tree.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "poststand",
		Short:         "Distribute model weights to many boxes, and requests to the boxes that have them",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	logs := flag.NewFlagSet("logs", flag.ContinueOnError)
	klog.InitFlags(logs)
	root.PersistentFlags().AddGoFlag(logs.Lookup("v"))
	_ = logs.Set("logtostderr", "false")
	_ = logs.Set("alsologtostderr", "false")
	_ = logs.Set("stderrthreshold", "FATAL")
	root.AddCommand(gatewayCommand(), agentCommand(), relayCommand(), stagerCommand(), checkCommand(), planCommand(), statusCommand(), explainCommand(), causesCommand(), versionCommand())
	return root
}

// printError prints an error; the problems of an invalid input get one line each.
func printError(err error) {
	var ps strict.Problems
	if errors.As(err, &ps) {
		fmt.Fprintln(os.Stderr, ps.Error())
		return
	}
	fmt.Fprintln(os.Stderr, "poststand:", err)
}
