package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReadEvent checks how events with lines longer than the reader's buffer are read.
func TestReadEvent(t *testing.T) {
	const bufferSize = 16
	long := strings.Repeat("x", maxEventBytes)
	full := "data: " + strings.Repeat("x", bufferSize-len("data: "))
	tests := map[string]struct {
		input, wantEvent, wantID string
		wantErr                  error
	}{
		"short":                            {input: "id: 7\ndata: x\n\nid: 8\n", wantEvent: "id: 7\ndata: x\n\n", wantID: "7"},
		"line that fills the buffer":       {input: full + "\nid: 7\n\n", wantEvent: full + "\nid: 7\n\n", wantID: "7"},
		"id within a long line":            {input: full + "id: 6\n\n", wantEvent: full + "id: 6\n\n"},
		"ends within an event":             {input: "id: 7\n", wantErr: io.ErrUnexpectedEOF},
		"ends between events":              {wantErr: io.EOF},
		"line that is too long":            {input: long + "\n\n", wantErr: errEventTooLong},
		"line that is too long and no end": {input: long + "x", wantErr: errEventTooLong},
		"lines that are too long together": {input: long[:maxEventBytes/2] + "\n" + long[:maxEventBytes/2] + "\n\n", wantErr: errEventTooLong},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var buf bytes.Buffer
			id, err := readEvent(bufio.NewReaderSize(strings.NewReader(test.input), bufferSize), &buf)
			assert.Assert(t, errors.Is(err, test.wantErr), "%v", err)
			if test.wantErr != nil {
				return
			}
			assert.Equal(t, id, test.wantID)
			assert.Equal(t, buf.String(), test.wantEvent)
		})
	}
}
