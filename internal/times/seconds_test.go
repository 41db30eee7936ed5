package times

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParseSeconds(t *testing.T) {
	cases := []struct {
		in   string
		want time.Duration
		ok   bool
	}{
		{"3", 3 * time.Second, true},
		{" 0.25 ", 250 * time.Millisecond, true},
		{"0.0000000001", 1, true}, // Rounded up, so never shorter than requested.
		{"1e1", 10 * time.Second, true},
		{"0", 0, true},
		{"99999999999", MaxDuration, true},
		{"1e999", MaxDuration, true},
		{"", 0, false},
		{"soon", 0, false},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"Inf", 0, false},
		{"0x1p3", 0, false},
		{"1,5", 0, false},
		{"3 s", 0, false},
		{"Fri, 31 Dec 1999 23:59:59 GMT", 0, false},
		{"e", 0, false},
		{"1.2.3", 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.in, func(t *testing.T) {
			is := is.New(t)
			got, ok := ParseSeconds(tc.in)
			is.Equal(got, tc.want)
			is.Equal(ok, tc.ok)
		})
	}
}

// No input gives a negative duration, or one above MaxDuration, which could overflow when
// added to a point in time.
func FuzzParseSeconds(f *testing.F) {
	for _, s := range []string{"3", "0.5", "1e400", "+1", "1e-400", "..", "1e", "١"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if d, ok := ParseSeconds(s); d < 0 || d > MaxDuration || !ok && d != 0 {
			t.Errorf("%q: %v, %v", s, d, ok)
		}
	})
}

// A caller that was told a time rounded down came back early, and was refused again.
func TestFormattedSecondsAreNotTooShort(t *testing.T) {
	for d, want := range map[time.Duration]string{
		-time.Second: "0.00", 0: "0.00", 1: "0.01", 10 * time.Millisecond: "0.01", 1123 * time.Millisecond: "1.13", 1120*time.Millisecond + 1: "1.13",
		time.Minute: "60.00",
	} {
		is.New(t).Equal(FormatSeconds(d), want)
	}
}
