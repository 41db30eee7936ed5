package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// gatewayFile is the settings of a gateway, without those that are optional.
const gatewayFile = `
cluster: c
box: b
hall: h
listen: 10.0.0.1:1
http: 10.0.0.1:2
ready: 10.0.0.1:3
store: 10.0.0.9:1
grace_for: 8s
version_within: 8s
retry_window: 10s
`

// Agents are queried at the port that the settings name. Without it, as in files of older
// deployments, none may be, and a value that is no port must be refused rather than used.
func TestAgentPort(t *testing.T) {
	for name, tc := range map[string]struct {
		line string
		port int
		want fault.Code
	}{
		"none":       {"", 0, ""},
		"port":       {"agent_port: 7400", 7400, ""},
		"too large":  {"agent_port: 65536", 0, fault.BadConfig},
		"negative":   {"agent_port: -1", 0, fault.BadConfig},
		"not a port": {"agent_port: 10.0.0.1:7400", 0, fault.BadConfig},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "gateway.yaml")
			is.NoErr(os.WriteFile(file, []byte(gatewayFile+tc.line+"\n"), 0o600))
			r, err := LoadRelay(file)
			is.Equal(fault.CodeOf(err), tc.want)
			if err == nil {
				is.Equal(r.AgentPort, tc.port)
			} else {
				is.True(strings.Contains(err.Error(), "agent_port"))
			}
		})
	}
}

// A gateway that reloads its settings goes on with its agent port, so a change must be refused.
func TestAgentPortChangesOnlyByARestart(t *testing.T) {
	is := is.New(t)
	a, b := &Relay{AgentPort: 1}, &Relay{AgentPort: 2}
	is.True(a.CanReload(a))
	is.True(!a.CanReload(b))
}
