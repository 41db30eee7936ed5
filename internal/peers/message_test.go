package peers

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/poststand/poststand/mirror"
	"github.com/poststand/poststand/quarantine"
)

// These structs have the field names that are sent. Some fields of the messages themselves have
// other names in Go.
type (
	sentPermitRequest struct {
		Word ReplicaLimit
		Rank int
	}
	sentPermit struct {
		Word       ReplicaLimit
		Given      bool
		NextIn     time.Duration
		NotLimiter bool
	}
	sentLimits struct{ Words []ReplicaLimit }
	sentReturn struct {
		Key  quarantine.Key
		In   time.Duration
		Rank int
	}
	sentReturns struct{ Returns []sentReturn }
	sentRetries struct {
		Ages, Requests, Retries []int
		Unconfirmed             int
	}
	sentRetryRecord struct {
		Gateway  string
		Process  uint64
		Seq      int
		Age      time.Duration
		KnownFor time.Duration
		Final    bool
		Unit     time.Duration
		Services map[string]sentRetries
	}
	sentRetryAnswer struct {
		Found    bool
		Record   sentRetryRecord
		Gateways int
	}
	sentRecords struct {
		Delta     mirror.Delta
		Ages      []time.Duration
		Histories []History
		Onward    bool
	}
	sentHeldRecords struct {
		Records sentRecords
		Left    []time.Duration
	}
)

// A message encoded by name must keep its field names when a field of the Go struct is renamed:
// otherwise builds before and after the rename silently read zero values from each other.
func TestFieldNamesInMessagesAreStable(t *testing.T) {
	limit := ReplicaLimit{ID: "r", Born: 3, Named: true, PerSecond: 1.5, AskedAge: 2, HeardAge: 1}
	delta := mirror.Delta{Base: 1, At: 2, Records: []mirror.Record{{Key: "k", Value: []byte("v"), Rev: 2}}}
	ages, histories := []time.Duration{7}, []History{{GapAges: []time.Duration{8}}}
	for _, tc := range []struct {
		name       string
		sent, here any
	}{
		{"permit request", &sentPermitRequest{limit, 2}, &PermitRequest{limit, 2}},
		{"permit", &sentPermit{limit, true, 4, true}, &Permit{limit, true, 4, true}},
		{"limits", &sentLimits{[]ReplicaLimit{limit}}, &ReplicaLimits{[]ReplicaLimit{limit}}},
		{
			"expected returns",
			&sentReturns{[]sentReturn{{quarantine.Key{1, 2}, 3, 4}}},
			&ExpectedReturns{[]ExpectedReturn{{quarantine.Key{1, 2}, 3, 4}}},
		},
		{
			"retry answer",
			&sentRetryAnswer{true, sentRetryRecord{"g", 1, 2, 3, 4, true, 5, map[string]sentRetries{"s": {[]int{6}, []int{7}, []int{8}, 9}}}, 10},
			&RetryAnswer{true, RetryRecord{"g", 1, 2, 3, 4, true, 5, map[string]ServiceRetries{"s": {[]int{6}, []int{7}, []int{8}, 9}}}, 10},
		},
		{
			"held records",
			&sentHeldRecords{sentRecords{delta, ages, histories, true}, []time.Duration{9}},
			&HeldRecords{Records{delta, ages, histories, true}, []time.Duration{9}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sent, err := msgpack.Marshal(tc.sent)
			is.NoErr(err)
			here, err := msgpack.Marshal(tc.here)
			is.NoErr(err)
			is.Equal(here, sent)
			got := reflect.New(reflect.TypeOf(tc.here).Elem()).Interface()
			is.NoErr(msgpack.Unmarshal(sent, got))
			is.Equal(got, tc.here)
		})
	}
}

// Clocks differ and may jump, so that messages about load, admission and retries may contain no time: times
// travel as durations.
func TestLoadAndAdmissionContainNoTimes(t *testing.T) {
	var contains func(t reflect.Type, seen map[reflect.Type]bool) bool
	contains = func(t reflect.Type, seen map[reflect.Type]bool) bool {
		if t == reflect.TypeFor[time.Time]() {
			return true
		}
		if seen[t] {
			return false
		}
		seen[t] = true
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			return contains(t.Elem(), seen)
		case reflect.Map:
			return contains(t.Key(), seen) || contains(t.Elem(), seen)
		case reflect.Struct:
			for i := range t.NumField() {
				if contains(t.Field(i).Type, seen) {
					return true
				}
			}
		}
		return false
	}
	is := is.New(t)
	is.True(contains(reflect.TypeFor[map[string][]struct{ At *time.Time }](), map[reflect.Type]bool{}))
	for _, m := range []any{Status{}, Reports{}, LoadQuery{}, LoadAnswer{}, ExpectedReturns{}, AdmissionState{}, RetryReport{}, RetryQuery{}, RetryAnswer{}} {
		if typ := reflect.TypeOf(m); contains(typ, map[reflect.Type]bool{}) {
			t.Errorf("%v contains a time", typ)
		}
	}
}
