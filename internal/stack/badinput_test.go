package stack

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/gateway"
)

// A bad request gets a typed refusal with the outcome "not_run", and does not affect the requests
// of other callers.
func TestBadInputOfCallers(t *testing.T) {
	const chat = `{"model":"chat","messages":[{"role":"user","content":"x"}]}`
	cases := []struct {
		name   string
		method string
		path   string
		header [2]string
		body   string
		status int
		code   fault.Code
	}{
		{"invalid JSON", "POST", "/v1/chat/completions", [2]string{}, "{", 400, fault.BadRequest},
		{"no such service", "POST", "/v1/chat/completions", [2]string{}, `{"model":"none"}`, 404, fault.NoService},
		{"plain service as a model", "POST", "/v1/chat/completions", [2]string{}, `{"model":"plain"}`, 404, fault.NoService},
		{"model as a plain service", "POST", "/services/chat/x", [2]string{}, "", 404, fault.NoService},
		{"no such adapter", "POST", "/v1/chat/completions", [2]string{}, `{"model":"chat:none"}`, 404, fault.NoService},
		{"no such path", "GET", "/elsewhere", [2]string{}, "", 404, fault.NoService},
		{"body too large", "POST", "/v1/chat/completions", [2]string{}, strings.Repeat("x", 2<<20), 413, fault.TooLarge},
		{"priority out of range", "POST", "/v1/chat/completions", [2]string{gateway.HeaderPriority, "10"}, chat, 400, fault.BadRequest},
		{"invalid timeout", "POST", "/v1/chat/completions", [2]string{gateway.HeaderTimeout, "soon"}, chat, 400, fault.BadRequest},
		{"unsafe is not a boolean", "POST", "/v1/chat/completions", [2]string{gateway.HeaderUnsafe, "perhaps"}, chat, 400, fault.BadRequest},
		{"key too long", "POST", "/v1/chat/completions", [2]string{gateway.HeaderKey, strings.Repeat("k", 300)}, chat, 400, fault.BadRequest},
		{"undeclared organisation", "POST", "/v1/chat/completions", [2]string{gateway.HeaderOrganisation, "nobody"}, chat, 400, fault.BadRequest},
	}
	s := &Stack{Gateways: 1, Engines: 1, PlainBoxes: 1, Config: shortLimits + "organisations: {paper: {}}\n"}
	runInBubble(t, s, func(t *testing.T, s *Stack) {
		for _, tc := range cases {
			is := is.New(t)
			req, _ := http.NewRequestWithContext(t.Context(), tc.method, "http://h0-gateway0:80"+tc.path, strings.NewReader(tc.body))
			req.Header.Set(gateway.HeaderOrganisation, "paper")
			if tc.header[0] != "" {
				req.Header.Set(tc.header[0], tc.header[1])
			}
			resp, err := s.Client().Do(req)
			is.NoErr(err)
			data, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			var e gateway.ErrorBody
			is.NoErr(json.Unmarshal(data, &e))
			is.Equal(tc.name+": "+string(e.Error.Code), tc.name+": "+string(tc.code))
			is.Equal(resp.StatusCode, tc.status)
			is.Equal(e.Error.Outcome, "not_run")
			is.Equal(resp.Header.Get(gateway.HeaderOutcome), "not_run")
		}
		is := is.New(t)
		r := s.newLoad(20, 100_000_000)
		r.Organisations = []string{"paper"}
		r.Mix.Keyed = 0
		sum, err := r.Do(t.Context())
		is.NoErr(err)
		is.Equal(sum.Answers, sum.Sent) // Other callers are not affected.
	})
}
