// Command poststand runs the processes of poststand and the operators' commands.
package main

import (
	"os"

	"github.com/poststand/poststand/cmd/poststand/cmd"
)

func main() {
	os.Exit(cmd.Main())
}
