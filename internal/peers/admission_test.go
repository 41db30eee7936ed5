package peers

import (
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// Absurd values must be refused as a whole: a negative rank would cut off every request.
func TestServiceAdmissionValid(t *testing.T) {
	rank := func(r int) *int { return &r }
	cases := []struct {
		name  string
		state ServiceAdmission
		want  bool
	}{
		{"empty", ServiceAdmission{}, true},
		{"usual", ServiceAdmission{RefusedRank: rank(0), Work: map[string]int{"a": 1200, "b": 0}}, true},
		{"negative rank", ServiceAdmission{RefusedRank: rank(-1)}, false},
		{"huge rank", ServiceAdmission{RefusedRank: rank(maxReportedRank + 1)}, false},
		{"negative work", ServiceAdmission{Work: map[string]int{"a": -1}}, false},
		{"huge work", ServiceAdmission{Work: map[string]int{"a": 5, "b": maxReportedWork + 1}}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(tc.state.Valid(), tc.want)
		})
	}
}

// A message of another build without a rank must not be taken for one that refuses rank 0, which
// would cut off all others.
func TestMissingRefusedRankIsNone(t *testing.T) {
	is := is.New(t)
	b, err := msgpack.Marshal(map[string]any{"Services": map[string]any{"s": map[string]any{"Work": map[string]int{"a": 3}, "Other": 1}}})
	is.NoErr(err)
	var m AdmissionState
	is.NoErr(msgpack.Unmarshal(b, &m))
	is.Equal(m.Services["s"], ServiceAdmission{Work: map[string]int{"a": 3}})
}
