// Command poststand-standin runs stand-ins for the external systems of poststand, for tests
// and the demo.
package main

import (
	"os"

	"github.com/poststand/poststand/cmd/poststand-standin/cmd"
)

func main() {
	os.Exit(cmd.Main())
}
