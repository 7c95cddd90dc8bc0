package transfer_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/transfer"
)

// TestReadAll checks that a body that is too large is rejected and not cut.
func TestReadAll(t *testing.T) {
	const limit = 4
	data, err := transfer.ReadAll(strings.NewReader("1234"), limit)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "1234")
	_, err = transfer.ReadAll(strings.NewReader("12345"), limit)
	assert.ErrorIs(t, err, transfer.ErrTooLarge)
}
