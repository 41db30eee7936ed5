package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/poststand/poststand/fault"
)

// An answer that exceeds its limits counted as a refusal, and its box was not avoided.
func TestAnswerTooLargeIsAFailureOfItsBox(t *testing.T) {
	is := is.New(t)
	is.True(isBoxFailure(fault.AnswerTooLarge))
	is.True(isBoxFailure(fault.Truncated))
	is.True(!isBoxFailure(fault.QueueFull))
}
