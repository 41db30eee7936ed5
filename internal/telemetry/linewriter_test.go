package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// A reader that does not read must not block writers. Once it reads, a line reports how
// many lines were dropped.
func TestLinesNeverBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, w := io.Pipe()
		l := NewLineWriter(w)
		const written = lineQueueSize + 1000
		for i := range written {
			_, err := fmt.Fprintf(l, "line %d\n", i)
			is.NoErr(err)
		}
		var got bytes.Buffer
		read := make(chan struct{})
		go func() {
			_, _ = io.Copy(&got, r)
			close(read)
		}()
		l.Close()
		is.NoErr(w.Close())
		<-read
		lines := strings.Split(strings.TrimSpace(got.String()), "\n")
		missed := 0
		for _, line := range lines {
			if n, err := fmt.Sscanf(line, `"log_lines_left_out" count=%d`, &missed); err == nil && n == 1 {
				break
			}
		}
		is.True(missed >= 999)
		is.Equal(len(lines)-1+missed, written)
	})
}
