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

// maxEvent is the maximum length of an event, in bytes.
const maxEvent = 1 << 20

// Syntax of event streams.
var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// Errors of incomplete or invalid event streams.
var (
	errCut      = errors.New("entry: event stream ended without [DONE]")
	errTooLarge = errors.New("entry: event exceeds the size limit")
)

// readEvent reads one event, including the empty line that ends it. It returns errCut if the stream
// ends first and errTooLarge if the event exceeds maxEvent.
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
			return nil, eris.Wrap(err, "entry: read event stream")
		}
		if bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) || len(bytes.TrimSpace(event)) == 0 {
			return event, nil
		}
	}
}

// dataOf returns the first data field of an event, or nil if there is none.
func dataOf(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, dataPrefix) {
			return bytes.TrimSpace(line[len(dataPrefix):])
		}
	}
	return nil
}

// isDone reports whether an event is the [DONE] event that ends a stream.
func isDone(event []byte) bool { return bytes.Equal(dataOf(event), doneMark) }

// carriesToken reports whether an event carries text of the completion.
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
