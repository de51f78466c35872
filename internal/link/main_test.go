package link

import (
	"testing"

	"github.com/bambooproxy/bambooproxy/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }
