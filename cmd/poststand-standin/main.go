// Command poststand-standin runs the stand-ins for tests and the demo.
package main

import (
	"os"

	"github.com/poststand/poststand/cmd/poststand-standin/cmd"
)

func main() {
	os.Exit(cmd.Main())
}
