package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"rockcleat/internal/openai"
)

// maxEvent is the longest event of a stream, in bytes.
const maxEvent = 1 << 20

// Marks of a stream's events.
var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// Errors of a stream that does not end as it should.
var (
	errCut      = errors.New("entry: stream ended before its end mark")
	errTooLarge = errors.New("entry: event too long")
)

// readEvent reads one event with the empty line after it.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEvent {
			return nil, errTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF {
			return nil, errCut
		}
		if err != nil {
			return nil, eris.Wrap(err, "entry: read stream")
		}
		if bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) || len(bytes.TrimSpace(event)) == 0 {
			return event, nil
		}
	}
}

// dataOf returns an event's data, nil if it has none.
func dataOf(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, dataPrefix) {
			return bytes.TrimSpace(line[len(dataPrefix):])
		}
	}
	return nil
}

// isDone reports whether an event is a stream's end mark.
func isDone(event []byte) bool { return bytes.Equal(dataOf(event), doneMark) }

// carriesToken reports whether an event carries text of the answer.
func carriesToken(event []byte) bool {
	data := dataOf(event)
	if data == nil {
		return false
	}
	var c openai.Completion
	if json.Unmarshal(data, &c) != nil {
		return false
	}
	for _, choice := range c.Choices {
		if choice.Text != "" || choice.Delta != nil && choice.Delta.Content != "" {
			return true
		}
	}
	return false
}
