package admission

import (
	"testing"

	"github.com/poststand/poststand/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }
