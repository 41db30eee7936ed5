package cmd_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poststand/poststand/cmd/poststand/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"poststand": func() { os.Exit(cmd.Main()) }})
}

func TestScript(t *testing.T) {
	examples, err := filepath.Abs("../../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			return nil
		},
	})
}
