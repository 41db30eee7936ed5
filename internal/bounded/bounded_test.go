package bounded_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
	"github.com/poststand/poststand/internal/bounded"
)

// endless repeats a text without end and counts the bytes that were read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text)
	e.read += n
	return n, nil
}

// A body that was cut at its limit was whole, or malformed.
func TestBodyBeyondItsLimitIsTooLarge(t *testing.T) {
	const limit = 100
	is := is.New(t)
	_, err := bounded.ReadAll(&endless{text: "a"}, limit, "piece")
	is.True(fault.Is(err, fault.TooLarge))
	data, err := bounded.ReadAll(strings.NewReader(strings.Repeat("a", limit)), limit, "piece")
	is.NoErr(err)
	is.Equal(len(data), limit)
	_, err = bounded.ReadAll(io.MultiReader(strings.NewReader("a"), errReader{}), limit, "piece")
	is.True(fault.Is(err, fault.ConnectionLost))

	var out any
	for _, text := range []string{" ", "\n", "[", "1"} {
		e := &endless{text: text}
		is.True(fault.Is(bounded.DecodeJSON(e, limit, "report", &out), fault.TooLarge))
		is.True(e.read <= limit+1)
	}
	is.True(fault.Is(bounded.DecodeJSON(strings.NewReader("{"), limit, "report", &out), fault.Garbage))
	is.NoErr(bounded.DecodeJSON(strings.NewReader("{}"), limit, "report", &out))
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("broken") }
