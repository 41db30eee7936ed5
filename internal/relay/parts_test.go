package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// What a caller sends as parts of its prompt is bounded, and the last part, which no other request
// shares, is never among them.
func TestSharedParts(t *testing.T) {
	many := strings.Repeat("ab:1,", maxParts)
	var distinct []string
	for i := range 5000 {
		distinct = append(distinct, fmt.Sprintf("%x:3", i))
	}
	cases := []struct {
		name, header string
		want         []string
	}{
		{"none", "", nil},
		{"one", "5c1e07a2:800", nil},
		{"three", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", []string{"5c1e07a2", "91bd3f06"}},
		{"spaces and capitals", " 5C1E07A2 : 800 , 91bd3f06:410 , e4:1", []string{"5c1e07a2", "91bd3f06"}},
		{"without tokens", "5c,91,e4", []string{"5c", "91"}},
		{"empty entries", ",:4,,5c:1,e4:2", []string{"5c"}},
		{"named twice", many + "e4:1", []string{"ab"}},
		{"an ID that is too long", strings.Repeat("a", maxPartBytes+1) + ":1,5c:1,e4:1", []string{"5c"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := sharedParts(tc.header); !slices.Equal(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
	if got := sharedParts(strings.Join(distinct, ",")); len(got) != maxParts {
		t.Errorf("%d parts of 5,000", len(got))
	}
}
