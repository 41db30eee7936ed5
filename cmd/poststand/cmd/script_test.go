package cmd_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poststand/poststand/cmd/poststand/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"poststand": func() { os.Exit(cmd.Main()) }})
}

var update = flag.Bool("update", false, "write what the commands print into the scripts")

func TestScript(t *testing.T) {
	examples, err := filepath.Abs("../../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script", UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			return nil
		},
	})
}
