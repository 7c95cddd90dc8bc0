package serverconn_test

import (
	"os"
	"testing"

	"rockcleat/internal/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, 60)) }
