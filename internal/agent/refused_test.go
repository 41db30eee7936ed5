package agent

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// A 4xx answer of an engine that had started again, or held another version, was passed on as that of the version asked for.
func TestRefusalOfAnotherVersionIsNotPassedOn(t *testing.T) {
	const state = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
	for _, tt := range []struct {
		header string // Of the refusal.
		held   string // The version that the engine holds afterwards.
		want   fault.Code
	}{
		{"", "", fault.MixedVersion},
		{"", "other", fault.MixedVersion},
		{"X-Engine-Digest: other\r\n", "d", fault.MixedVersion},
		{"", "d", ""},
		{"X-Engine-Digest: d\r\n", "", ""},
	} {
		for _, status := range []string{"404 Not Found", "400 Bad Request"} {
			for _, stream := range []bool{false, true} {
				is := is.New(t)
				s := fmt.Sprintf("{%q:%q}", "digest", tt.held)
				body, err := runScript(t, &scriptedEngine{
					answers: []string{"HTTP/1.1 " + status + "\r\n" + tt.header + "Content-Length: 2\r\n\r\nno"},
					state:   fmt.Sprintf(state, len(s), s),
				}, stream)
				is.Equal(fault.CodeOf(err), tt.want)
				is.Equal(body == "no", tt.want == "")
			}
		}
	}
}
